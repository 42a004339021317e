// Command lentilyard is the entry VM daemon and the operators' client.
package main

func main() {}
