// This file prints results as a table, JSON or YAML.

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// print writes value as JSON or YAML, or header and rows as a table, depending on the
// output flag.
func (t *tool) print(value any, header []string, rows [][]string) error {
	switch t.output {
	case "json":
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(value))
	case "yaml":
		data, err := json.Marshal(value)
		if err != nil {
			return errors.Trace(err)
		}
		text, err := yaml.JSONToYAML(data)
		if err != nil {
			return errors.Trace(err)
		}
		_, err = os.Stdout.Write(text)
		return errors.Trace(err)
	case "table":
		return printTable(header, rows)
	default:
		return errors.NotValidf("output %q (table, json or yaml)", t.output)
	}
}

func printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Trace(w.Flush())
}
