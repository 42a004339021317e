package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/settings"
	"github.com/lentilyard/lentilyard/internal/units"
)

// TestExamples guards against examples with invalid settings, against entry VMs of one deployment whose shared settings
// differ, and against release notes with quantities that the unit table of the deployment cannot resolve.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		name    string
		vms     int
		domains []string
		cores   int64 // limit of the note's second contract, in millicores
	}{
		{"hanbit", 7, []string{"wonju", "gangneung", "chuncheon"}, 640_000},
		{"szikes", 6, []string{"mata", "angyalhaza", "nagyivan"}, 2_100_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := loadAll(t, filepath.Join("../../examples", c.name))
			is.Equal(len(all), c.vms)
			first := shared(all[0])
			for _, s := range all {
				is.Equal(len(s.EntryVms), c.vms)
				is.True(proto.Equal(shared(s), first))
			}
			var domains []string
			for _, d := range first.FailureDomains {
				domains = append(domains, d.Name)
				is.Equal(len(d.Voters), 3)
			}
			is.Equal(domains, c.domains)

			file := filepath.Join("../../examples", c.name, "note-1.yaml")
			data, err := os.ReadFile(file)
			is.NoErr(err)
			note := &pb.ReleaseNote{}
			is.NoErr(settings.Decode(file, data, note))
			table, err := units.New(first.Units)
			is.NoErr(err)
			_, resolved, err := contract.Check(contract.New().View(), note, table)
			is.NoErr(err)
			is.NoErr(contract.CheckDomains(note, domains))
			is.Equal(resolved[1].Resolved.Millicores, c.cores)
		})
	}
}

func loadAll(t *testing.T, folder string) []*pb.Settings {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var all []*pb.Settings
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "note-") {
			continue
		}
		s, err := settings.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		if s.Id+".yaml" != filepath.Base(file) {
			t.Fatalf("%s holds the settings of %s", file, s.Id)
		}
		all = append(all, s)
	}
	return all
}

// shared returns the settings without the fields that differ between the entry VMs of a deployment.
func shared(s *pb.Settings) *pb.Settings {
	c := proto.Clone(s).(*pb.Settings)
	c.Id, c.Listen, c.DataFolder, c.PeerTls = "", nil, "", nil
	return c
}
