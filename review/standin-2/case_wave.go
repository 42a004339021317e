package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// upkeepTime is upkeep_s of the sheet.
const upkeepTime = 2 * time.Second

// cloud is a stand-in for the platform's machine service.
type cloud struct {
	w  *world
	mu sync.Mutex
	// machines by name, in the order of the list.
	names    []string
	state    map[string]string
	executor map[string]*executor
	upkept   map[string]int // wave of the last upkeep that began
	garbled  string         // machine whose entry another writer has written
	lives    int
}

func (c *cloud) serve(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	c.w.cloud = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-upkeep", c.upkeep)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []string
	for _, name := range c.names {
		id := ""
		if e := c.executor[name]; e != nil {
			id = e.id
		}
		row := fmt.Sprintf(`{"machine":%q,"pool":"kit-orders","state":%q,"zone":"wonju","labels":["a","r1-1"],"capacity":{"cpu":32000,"mem_mb":64000,"gpu":0},"id":%q}`, name, c.state[name], id)
		if name == c.garbled {
			row = fmt.Sprintf(`{"machine":%q,"pool":"kit-orders","state":7,"zone":"wonju","id":%q}`, name, id) // a field of another type
		}
		rows = append(rows, row)
	}
	c.w.note("platform: list of machines: %s", strings.Join(rows, " "))
	_, _ = fmt.Fprintf(rw, `{"machines":[%s],"next_token":""}`, strings.Join(rows, ","))
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string
		Wave    int
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	c.mu.Lock()
	defer c.mu.Unlock()
	status := http.StatusOK
	switch {
	case c.state[order.Machine] == "":
		status = http.StatusBadRequest
	case c.upkept[order.Machine] == order.Wave: // already done
	case c.state[order.Machine] != "up":
		status = http.StatusConflict
	default:
		c.upkept[order.Machine], c.state[order.Machine] = order.Wave, "upkeep"
		c.executor[order.Machine].end("upkeep")
		time.AfterFunc(upkeepTime, func() { c.back(order.Machine) })
	}
	c.w.note("platform: upkeep of %s for wave %d by %s, fence %s -> %d", order.Machine, order.Wave, r.Header.Get("Lease-Holder"), r.Header.Get("Fence-Token"), status)
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte(`{"reason":"busy"}`))
}

// back brings a machine back with a new executor.
func (c *cloud) back(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.add(name); err != nil {
		c.w.note("executor on %s could not start: %v", name, err)
	}
}

// add starts an executor on a machine. The caller holds c.mu.
func (c *cloud) add(name string) error {
	c.lives++
	e, err := c.w.newExecutor(fmt.Sprintf("i-%d", c.lives), name, c.w.ip(40+c.lives), 32000)
	if err != nil {
		return err
	}
	e.begin()
	c.executor[name], c.state[name] = e, "up"
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
	return nil
}

// playWave: the operator orders a wave of upkeep. While it goes on, the entry of one machine in the platform's list has a field of another type
// for two seconds. The wave must not be shown as done before that machine has begun its upkeep.
func playWave(w *world) (bool, error) {
	c := &cloud{w: w, state: map[string]string{}, executor: map[string]*executor{}, upkept: map[string]int{}}
	if err := c.serve(w.ip(30)); err != nil {
		return false, err
	}
	if err := w.start(1); err != nil {
		return false, err
	}
	c.mu.Lock()
	for _, name := range []string{"m-1", "m-2", "m-3"} {
		if err := c.add(name); err != nil {
			c.mu.Unlock()
			return false, err
		}
	}
	c.mu.Unlock()
	if err := w.putManifest(10*time.Second, manifest(1, route("r-a", "/sheets/", "kit-orders"))); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	order := `{"wave":1,"machines":["m-1","m-2","m-3"],"deadline_s":60,"max_count":1}`
	err := await(5*time.Second, "the wave was not confirmed", func() bool {
		a := request(client, http.MethodPost, w.controls()[0].control()+"/v1/wave-start", "", order)
		w.note("operator: POST /v1/wave-start -> %d", a.status)
		return a.status == http.StatusOK
	})
	if err != nil {
		return false, err
	}
	if w.trouble {
		c.mu.Lock()
		c.garbled = "m-3"
		c.mu.Unlock()
		time.AfterFunc(2*time.Second, func() {
			c.mu.Lock()
			c.garbled = ""
			c.mu.Unlock()
			w.note("platform: the entry of m-3 is as before")
		})
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a := get(w.controls()[1].control()+"/v1/wave-get/1", "")
		w.note("operator: GET /v1/wave-get/1 -> %d %s", a.status, strings.TrimSpace(a.body))
		if a.status == http.StatusOK && strings.Contains(a.body, "done") {
			break
		}
	}
	shown := get(w.controls()[1].control()+"/v1/wave-get/1", "")
	time.Sleep(8 * time.Second) // the machine stays: it is still listed as up
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []string
	for _, name := range c.names {
		if c.upkept[name] != 1 && c.state[name] == "up" {
			left = append(left, name)
		}
	}
	w.note("the wave was shown as %s; without upkeep: %v", strings.TrimSpace(shown.body), left)
	broken := strings.Contains(shown.body, "done") && len(left) > 0
	if broken {
		w.note("BROKEN MIXED: the wave is said to be done, and %v stays and has not begun its upkeep", left)
	}
	if !broken && !strings.Contains(shown.body, "done") {
		w.note("the wave did not end in 40 s")
	}
	return broken, nil
}
