package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/settings"
)

// TestEveryFaultIsReportedInOneRun compares the faults of a file with its comments
// # want `text`. Each wanted fault must be reported, and no others. A fault must have the
// line of its comment, except those whose comment is on a line of its own.
func TestEveryFaultIsReportedInOneRun(t *testing.T) {
	parsers := map[string]func(name string, data []byte) error{
		"faults.yaml": func(name string, data []byte) error {
			_, err := settings.Parse(name, data)
			return err
		},
		"member-faults.yaml": func(name string, data []byte) error {
			_, err := settings.ParseMember(name, data)
			return err
		},
	}
	for name, parse := range parsers {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name)
			must.NoError(t, err)
			checkFaults(t, data, parse(name, data))
		})
	}
}

// checkFaults compares an error with the want comments of the file.
func checkFaults(t *testing.T, data []byte, err error) {
	t.Helper()
	var faults *settings.FaultsError
	must.True(t, errors.As(err, &faults))
	want := regexp.MustCompile("# want `([^`]*)`")
	count := 0
	for i, line := range strings.Split(string(data), "\n") {
		m := want.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		count++
		found := false
		for _, f := range faults.Faults {
			named := strings.Contains(f.String(), m[1])
			found = found || (named && (f.Line == i+1 || strings.HasPrefix(line, "# want")))
		}
		must.True(t, found, must.Sprintf("line %d: %s\nnot in:\n%v", i+1, m[1], err))
	}
	must.SliceLen(t, count, faults.Faults, must.Sprint(err))
}

func TestReadMember(t *testing.T) {
	m, err := settings.ReadMember("testdata/member.yaml")
	must.NoError(t, err)
	must.Eq(t, "10.1.0.35:7660", m.PeerAddress())
	must.Eq(t, "10.1.0.35:7661", m.HandoverAddress())
	must.Eq(t, []string{"10.1.0.38:7660", "10.2.0.31:7660"}, m.SeedPeerAddresses())
	must.Eq(t, 3, m.VoterCount())
	must.Eq(t, 1200*time.Millisecond, m.Heartbeat)
	must.Eq(t, entryweight.Size{Millicores: 288, LinkKbps: 7500}, m.Size())
	must.Eq(t, entryweight.Size{}, settings.Member{}.Size())
	must.Eq(t, settings.RetryBudget{Share: 0.2, Extra: 56, Window: 10 * time.Second}, m.Retries)
	must.Eq(t, "10.1.0.35:1", m.BindAddress("10.1.0.35:1"))
	m.Bind = "127.0.0.1"
	must.Eq(t, "127.0.0.1:1", m.BindAddress("10.1.0.35:1"))
}

func TestExampleSettingsAreValid(t *testing.T) {
	for path, hosts := range map[string]int{"../examples/cooperative/settings.yaml": 9, "../examples/association/settings.yaml": 8} {
		s, err := settings.Read(path)
		must.NoError(t, err)
		must.SliceLen(t, hosts, s.Hosts)
		must.SliceLen(t, 3, s.Voters())
		must.Eq(t, settings.DefaultLimits.BodyBytes, s.Limits.BodyBytes)
	}
}

func TestExampleMemberSettingsAreValid(t *testing.T) {
	control, err := settings.ReadMember("../examples/members/control.yaml")
	must.NoError(t, err)
	gateway, err := settings.ReadMember("../examples/members/gateway.yaml")
	must.NoError(t, err)
	must.SliceContains(t, gateway.SeedPeerAddresses(), control.PeerAddress())
	must.Eq(t, control.Regions, gateway.Regions)
}

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("hosts: {a: [}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz", data)
		var faults *settings.FaultsError
		must.True(t, err == nil || errors.As(err, &faults))
		_, err = settings.ParseMember("fuzz", data)
		must.True(t, err == nil || errors.As(err, &faults))
	})
}
