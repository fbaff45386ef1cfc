package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/settings"
)

// TestEveryFaultIsNamedInOneRun compares the faults of a file with its
// comments, # want `text`: each must be found, and none besides; a fault that
// belongs to a line must name it.
func TestEveryFaultIsNamedInOneRun(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.yaml")
	must.NoError(t, err)
	_, err = settings.Parse("faults.yaml", data)
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

func TestExamplesAreSound(t *testing.T) {
	for path, hosts := range map[string]int{"../examples/cooperative/settings.yaml": 9, "../examples/association/settings.yaml": 8} {
		s, err := settings.Read(path)
		must.NoError(t, err)
		must.SliceLen(t, hosts, s.Hosts)
		must.SliceLen(t, 3, s.Voters())
		must.Eq(t, settings.DefaultLimits.BodyBytes, s.Limits.BodyBytes)
	}
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
	})
}
