package control

import (
	"reflect"
	"slices"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
)

// AffectedDataCentres lists the data centres whose hosts or engines may serve something
// else after a change. Hosts send requests to engines of their whole region, so
// an engine matters to each data centre of its region.
func AffectedDataCentres(before, after declare.Config, change declare.Change) []string {
	m := &matters{before: before, after: after, found: map[string]bool{}, services: map[string]bool{}}
	for _, ref := range refsOf(change) {
		old, _ := before.Get(ref)
		now, _ := after.Get(ref)
		if reflect.DeepEqual(old, now) {
			continue
		}
		m.object(old)
		m.object(now)
	}
	m.compare()
	var out []string
	for name := range m.found {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

type matters struct {
	before, after declare.Config
	found         map[string]bool
	services      map[string]bool // whose rules must be compared
}

func (m *matters) object(object declare.Object) {
	switch o := object.(type) {
	case declare.Region:
		m.region(o.Name)
	case declare.DataCentre:
		m.region(o.Region)
	case declare.Host:
		m.found[o.DataCentre] = true
	case declare.Engine:
		m.region(m.before.RegionOf(o.DataCentre))
		m.region(m.after.RegionOf(o.DataCentre))
	case declare.Selector:
		m.services[o.Service] = true
	case declare.Service:
		m.served(o.Name)
	}
}

func (m *matters) region(name string) {
	for _, config := range []declare.Config{m.before, m.after} {
		for _, dc := range declare.Each[declare.DataCentre](config) {
			if dc.Region == name {
				m.found[dc.Name] = true
			}
		}
	}
}

// compare finds the data centres at which the rules of a service differ.
func (m *matters) compare() {
	if len(m.services) == 0 {
		return
	}
	old, errOld := permit.New(m.before)
	now, errNow := permit.New(m.after)
	homes := regionNames(m.before, m.after)
	for _, dc := range m.dataCentres() {
		for service := range m.services {
			before := permit.Place{Region: m.before.RegionOf(dc), DataCentre: dc}
			after := permit.Place{Region: m.after.RegionOf(dc), DataCentre: dc}
			if errOld != nil || errNow != nil || old.Fingerprint(service, before, homes) != now.Fingerprint(service, after, homes) {
				m.found[dc] = true
			}
		}
	}
}

// served finds the data centres that may serve a service, before or after.
func (m *matters) served(service string) {
	homes := regionNames(m.before, m.after)
	for _, config := range []declare.Config{m.before, m.after} {
		rules, err := permit.New(config)
		for _, dc := range declare.Each[declare.DataCentre](config) {
			place := permit.Place{Region: dc.Region, DataCentre: dc.Name}
			if err != nil || rules.Fingerprint(service, place, homes) != (permit.Rules{}).Fingerprint(service, place, homes) {
				m.found[dc.Name] = true
			}
		}
	}
}

func (m *matters) dataCentres() []string {
	var out []string
	for _, config := range []declare.Config{m.before, m.after} {
		for _, dc := range declare.Each[declare.DataCentre](config) {
			out = append(out, dc.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func regionNames(configs ...declare.Config) []string {
	var out []string
	for _, config := range configs {
		for _, r := range declare.Each[declare.Region](config) {
			out = append(out, r.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
