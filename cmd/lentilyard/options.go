package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/client"
	"github.com/lentilyard/lentilyard/internal/settings"
	"github.com/lentilyard/lentilyard/internal/units"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// clientOptions holds the flags that all client commands share.
type clientOptions struct {
	address   string
	token     string
	tokenFile string
	output    string
}

func addGlobalFlags(app *kingpin.Application) *clientOptions {
	o := new(clientOptions)
	app.Flag("address", "Address of an entry VM.").Envar("LENTILYARD_ADDRESS").Default("127.0.0.1:7080").StringVar(&o.address)
	app.Flag("token", "Bearer token.").Envar("LENTILYARD_TOKEN").StringVar(&o.token)
	app.Flag("token-file", "File that holds the bearer token.").Envar("LENTILYARD_TOKEN_FILE").StringVar(&o.tokenFile)
	app.Flag("output", "Output format: text or json.").Short('o').Default(outputText).EnumVar(&o.output, outputText, outputJSON)
	return o
}

func (o *clientOptions) client() (*client.Client, error) {
	token, err := readToken(o.token, o.tokenFile)
	if err != nil {
		return nil, err
	}
	return client.New(o.address, token)
}

func readToken(token, file string) (string, error) {
	if file == "" {
		return token, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read token file: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// print prints m as JSON or, in text format, calls text with a function that prints one row of an aligned table.
func (o *clientOptions) print(m proto.Message, text func(row func(cells ...any))) error {
	if o.output == outputJSON {
		encoded, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		fmt.Println(string(encoded))
		return nil
	}
	columns := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	text(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(columns, "\t")
			}
			fmt.Fprint(columns, cell)
		}
		fmt.Fprintln(columns)
	})
	return columns.Flush()
}

// withScheme turns IP:port addresses into base URLs.
func withScheme(addresses []string) []string {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		urls = append(urls, address)
	}
	return urls
}

// quantityVar registers a flag whose value is a quantity such as "125 GB". It is resolved with the standard units to exact
// base units of the dimension.
func quantityVar(command *kingpin.CmdClause, name, help, defaultValue string, dimension units.Dimension, into *int64) {
	command.Flag(name, help).Default(defaultValue).SetValue(&quantityValue{dimension: dimension, resolved: into})
}

// quantityValue implements kingpin.Value for a quantity.
type quantityValue struct {
	dimension units.Dimension
	written   string
	resolved  *int64
}

// Set implements kingpin.Value.
func (v *quantityValue) Set(written string) error {
	table, err := units.New(settings.StandardUnits())
	if err != nil {
		return err
	}
	resolved, err := table.Resolve(written, v.dimension)
	if err != nil {
		return err
	}
	v.written, *v.resolved = written, resolved
	return nil
}

// String implements kingpin.Value.
func (v *quantityValue) String() string { return v.written }
