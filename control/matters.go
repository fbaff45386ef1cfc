package control

import (
	"reflect"
	"slices"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
)

// AffectedDataCentres returns, in order of names, the data centres in which a change
// may alter what hosts or engines serve. Hosts send requests to engines in their
// whole region, so an engine affects every data centre of its region.
func AffectedDataCentres(before, after declare.Config, change declare.Change) []string {
	i := &impact{before: before, after: after, affected: map[string]bool{}, selected: map[string]bool{}}
	for _, ref := range changedRefs(change) {
		oldObject, _ := before.Get(ref)
		newObject, _ := after.Get(ref)
		if reflect.DeepEqual(oldObject, newObject) {
			continue
		}
		i.addObject(oldObject)
		i.addObject(newObject)
	}
	i.addServicesWithNewRules()
	var out []string
	for name := range i.affected {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// impact collects the data centres that a change affects.
type impact struct {
	before, after declare.Config
	affected      map[string]bool
	selected      map[string]bool // services whose selectors the change touches
}

// addObject adds the data centres that a change of the object affects. It only marks
// the service of a selector: addServicesWithNewRules compares the selectors' effects.
func (i *impact) addObject(object declare.Object) {
	switch o := object.(type) {
	case declare.Region:
		i.addRegion(o.Name)
	case declare.DataCentre:
		i.addRegion(o.Region)
	case declare.Host:
		i.affected[o.DataCentre] = true
	case declare.Engine:
		i.addRegion(i.before.RegionOf(o.DataCentre))
		i.addRegion(i.after.RegionOf(o.DataCentre))
	case declare.Selector:
		i.selected[o.Service] = true
	case declare.Service:
		i.addServingDataCentres(o.Name)
	}
}

// addRegion adds the data centres that a region has in either configuration.
func (i *impact) addRegion(name string) {
	for _, config := range []declare.Config{i.before, i.after} {
		for _, dc := range declare.ObjectsOf[declare.DataCentre](config) {
			if dc.Region == name {
				i.affected[dc.Name] = true
			}
		}
	}
}

// addServicesWithNewRules adds the data centres in which the rules of a selected
// service differ between the two configurations. If either configuration does not
// compile, it adds all data centres.
func (i *impact) addServicesWithNewRules() {
	if len(i.selected) == 0 {
		return
	}
	oldRules, oldErr := permit.Compile(i.before)
	newRules, newErr := permit.Compile(i.after)
	homeRegions := regionNames(i.before, i.after)
	for _, dc := range i.allDataCentres() {
		for service := range i.selected {
			before := permit.Place{Region: i.before.RegionOf(dc), DataCentre: dc}
			after := permit.Place{Region: i.after.RegionOf(dc), DataCentre: dc}
			if oldErr != nil || newErr != nil || oldRules.Fingerprint(service, before, homeRegions) != newRules.Fingerprint(service, after, homeRegions) {
				i.affected[dc] = true
			}
		}
	}
}

// addServingDataCentres adds the data centres that may serve a service in either
// configuration.
func (i *impact) addServingDataCentres(service string) {
	homeRegions := regionNames(i.before, i.after)
	for _, config := range []declare.Config{i.before, i.after} {
		rules, err := permit.Compile(config)
		for _, dc := range declare.ObjectsOf[declare.DataCentre](config) {
			place := permit.Place{Region: dc.Region, DataCentre: dc.Name}
			if err != nil || rules.Fingerprint(service, place, homeRegions) != (permit.Rules{}).Fingerprint(service, place, homeRegions) {
				i.affected[dc.Name] = true
			}
		}
	}
}

func (i *impact) allDataCentres() []string {
	var out []string
	for _, config := range []declare.Config{i.before, i.after} {
		for _, dc := range declare.ObjectsOf[declare.DataCentre](config) {
			out = append(out, dc.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func regionNames(configs ...declare.Config) []string {
	var out []string
	for _, config := range configs {
		for _, r := range declare.ObjectsOf[declare.Region](config) {
			out = append(out, r.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
