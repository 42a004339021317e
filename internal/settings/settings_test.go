package settings

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const validSettings = `id: a1
listen: {http: 127.0.0.1:7080, peer: 127.0.0.1:7081}
dataFolder: /tmp/a1
entryVms:
  - {id: a1, failureDomain: a, httpAddress: 127.0.0.1:7080, peerAddress: 127.0.0.1:7081, disk: true}
  - {id: b1, failureDomain: b, httpAddress: 127.0.0.2:7080, peerAddress: 127.0.0.2:7081, disk: true}
  - {id: c1, failureDomain: c, httpAddress: 127.0.0.3:7080, peerAddress: 127.0.0.3:7081, disk: false}
failureDomains:
  - {name: a, region: r, voters: [a1]}
  - {name: b, region: r, voters: [b1]}
  - {name: c, region: r, voters: [c1, a1, b1]}
configVoters: [a1, b1, c1]
peerTls: {caFile: ca.pem, certFile: a1.pem, keyFile: a1.key}
tokens:
  - {name: op, sha256: "` + digestA + `", role: operator}
units:
  - {name: core, dimension: processor, factor: "1000"}
timing: {announceLease: 2s}
limits: {maxQueue: 16}
`

const digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

func TestParseSetsDefaults(t *testing.T) {
	// Guards against a default that overwrites a value from the file or differs from the default in settings.proto.
	is := is.New(t)
	s, err := Parse("a.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Limits.MaxQueue, uint32(16))
	is.Equal(s.Limits.MaxBodyBytes, int64(1<<30))
	is.Equal(s.Timing.RaftElection.AsDuration(), 300*time.Millisecond)
	is.Equal(s.Policy.ThroughputWeight, 1.0)
	is.Equal(s.Log.Level, "info")
	is.NoErr(Check("defaults", Defaults()))
}

// TestParseRejectsInvalidSettings guards against an invalid file being accepted, or its problem being reported at the wrong
// line. Each case replaces a part of validSettings.
func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "limits: {maxQueue", "limits: {maxQueues", `a.yaml:19: unknown key "maxQueues" in limits (known keys: maxBodyBytes`},
		{"proto key", "dataFolder", "data_folder", `a.yaml:3: unknown key "data_folder" in the top level (write "dataFolder")`},
		{"duplicate key", "limits:", "id: x\nlimits:", `a.yaml:19: key "id" in the top level is already set on line 1`},
		{"number for string", `factor: "1000"`, `factor: 1000`, `a.yaml:17: units[0].factor must be a string`},
		{"string for bool", "disk: false", "disk: no", `a.yaml:7: entryVms[2].disk must be true or false`},
		{"octal number", "maxQueue: 16", "maxQueue: 010", `a.yaml:19: limits.maxQueue must be a whole number`},
		{"negative number", "maxQueue: 16", "maxQueue: -1", `a.yaml:19: limits.maxQueue: -1 is out of range`},
		{"too large", "maxQueue: 16", "maxQueue: 4294967296", `a.yaml:19: limits.maxQueue: 4294967296 is out of range`},
		{"explicit zero", "maxQueue: 16", "maxQueue: 0", `a.yaml:19: limits.maxQueue: 0 is not possible`},
		{"duration unit", "2s", "2 parsecs", `a.yaml:18: timing.announceLease: "2 parsecs" is not a duration (write a number with the unit`},
		{"duration without unit", "2s", "2", `a.yaml:18: timing.announceLease must be a duration, not the number 2`},
		{"lease too short", "2s", "700ms", `a.yaml:18: timing.announceInterval: 500ms is more than half`},
		{"no value", "dataFolder: /tmp/a1", "dataFolder:", `a.yaml:3: dataFolder has no value`},
		{"list expected", "configVoters: [a1, b1, c1]", "configVoters: a1", `a.yaml:12: configVoters must be a list, not "a1"`},
		{"mapping expected", "limits: {maxQueue: 16}", "limits: 3", `a.yaml:19: limits must be a mapping`},
		{"anchor", "id: a1\n", "id: &x a1\n", `a.yaml:1: an anchor`},
		{"syntax", "limits: {maxQueue: 16}", "limits: {maxQueue: 16", `a.yaml:19: `},
		{"two documents", "limits:", "---\nlimits:", `a.yaml:20: the file holds 2 documents`},
		{"id", "id: a1\n", "id: zz\n", `a.yaml:1: id "zz" does not appear in entryVms`},
		{"unknown domain", "id: b1, failureDomain: b", "id: b1, failureDomain: x", `a.yaml:6: entry VM "b1" is in failure domain "x"`},
		{"missing domain", "id: b1, failureDomain: b,", "id: b1,", `a.yaml:6: entry VM "b1" has no failure domain`},
		{"domain name", "name: c,", "name: Chuncheon,", `failure domain "Chuncheon" has a name that cannot be used`},
		{"unknown voter", "configVoters: [a1, b1, c1]", "configVoters: [a1, b1, x1]", `a.yaml:12: voter "x1" of the config group`},
		{"voter twice", "voters: [c1, a1, b1]", "voters: [c1, a1, a1]", `a.yaml:11: voter "a1" of failure domain "c" is listed twice`},
		{"majority in a domain", "configVoters: [a1, b1, c1]", "configVoters: [a1]", `a.yaml:12: failure domain "a" holds a majority`},
		{"no disk majority", "voters: [c1, a1, b1]", "voters: [c1, a1]", `a.yaml:11: only 1 of the 2 voters`},
		{"host name", "peerAddress: 127.0.0.3:7081", "peerAddress: localhost:7081", `a.yaml:7: entryVms[2].peerAddress: "localhost:7081" is not IP:port`},
		{"duplicate address", "127.0.0.3:7081", "127.0.0.2:7081", `a.yaml:7: entryVms[2].peerAddress: address 127.0.0.2:7081 is already used by entryVms[1].peerAddress`},
		{"no disk of its own", "dataFolder: /tmp/a1\n", "", `a.yaml:1: entryVms says that "a1" has a disk`},
		{"role", "role: operator", "role: admin", `a.yaml:15: token "op": role "admin" does not exist`},
		{"caller without member", "role: operator", "role: caller", `a.yaml:15: token "op": a caller needs a member`},
		{"token digest", digestA, strings.ToUpper(digestA), `a.yaml:15: token "op": sha256 is malformed`},
		{"factor zero", `"1000"`, `"0.0"`, `a.yaml:17: units[0]: unit "core": factor must be greater than 0`},
		{"factor exponent", `"1000"`, `"1e3"`, `a.yaml:17: units[0]: unit "core": factor "1e3" is not a whole number, decimal or fraction`},
		{"dimension", "dimension: processor", "dimension: length", `a.yaml:17: units[0]: unit "core": dimension "length"`},
		{"no peerTls", "peerTls: {caFile: ca.pem, certFile: a1.pem, keyFile: a1.key}\n", "", `a.yaml: peerTls must set`},
		{"too many keys", "limits: {maxQueue: 16}", strings.Repeat("a: b\n", maxKeys+1), `: a mapping has more than 1000 keys`},
		{"too many items", "limits: {maxQueue: 16}", "x:\n" + strings.Repeat("-\n", maxItems+1), `or a list more than 20000 items`},
		{"deep nesting", "limits: {maxQueue: 16}", "limits: " + strings.Repeat("[", 40), `a.yaml:19: collections are nested`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.old)) // otherwise the replacement would have no effect
			_, err := Parse("a.yaml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var problems Problems
			is.True(errors.As(err, &problems))
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
			for _, p := range problems {
				is.True(p.Remedy != "")
			}
		})
	}
}

func TestDecodeReleaseNote(t *testing.T) {
	// Guards against a decoder that works only for the Settings message.
	is := is.New(t)
	note := &pb.ReleaseNote{}
	data := "number: 3\nauthor: Kim Ha-eun\nadd:\n  - name: kits\n    limits: {cores: 40 core}\n    shares: [{failureDomain: wonju, parts: 2}]\nwithdraw: [old]\n"
	is.NoErr(Decode("note.yaml", []byte(data), note))
	want := &pb.ReleaseNote{Number: 3, Author: "Kim Ha-eun", Withdraw: []string{"old"}, Add: []*pb.Contract{{Name: "kits",
		Limits: &pb.ContractLimits{Cores: "40 core"}, Shares: []*pb.DomainShare{{FailureDomain: "wonju", Parts: 2}}}}}
	is.True(proto.Equal(note, want))
}

func TestCheckListenNamesRemedy(t *testing.T) {
	// Guards against a plain "bind: address already in use", which does not name the settings key to change.
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	s := &pb.Settings{Listen: &pb.Listen{Http: taken.Addr().String(), Peer: "127.0.0.1:0"}}
	err = CheckListen(s)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "change listen.http"))
	s.Listen.Http = "127.0.0.1:0"
	is.NoErr(CheckListen(s))
}

// FuzzDecode guards against panics and unbounded running time in the parser and the decoder.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{validSettings, "a: &x [*x]", "? a : b", "- - - -", "{a: {b: [", "id: |\n  x\n", "\"", "a:\n\t- b", "timing: {drainTimeout: 9e99h}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f.yaml", data)
		if err == nil && Check("f.yaml", s) != nil {
			t.Fatalf("accepted settings are not valid: %v", Check("f.yaml", s))
		}
	})
}

// FuzzReleaseNote guards against panics in the decoding of release notes, and against decoded notes that cannot be encoded.
func FuzzReleaseNote(f *testing.F) {
	for _, seed := range []string{"number: 1\nadd: [{name: a, limits: {cores: 1 core}}]", "number: -1", "withdraw: [a, a]", "change:\n- name: >-\n    x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		note := &pb.ReleaseNote{}
		if Decode("note.yaml", data, note) != nil {
			return
		}
		if _, err := proto.Marshal(note); err != nil {
			t.Fatal(err)
		}
	})
}
