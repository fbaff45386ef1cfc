// Package declare defines the objects that operators declare (regions, data centres,
// hosts, services, engines and selectors), their validation, and their YAML and JSON
// forms.
//
// A declaration is an Object. A Config is an immutable, validated set of objects, and a
// Change turns one Config into the next. The package depends neither on the network nor on
// replication: a Config is a value, and hosts that apply the same sequence of changes
// arrive at equal configurations.
//
// Selectors are label expressions of Kubernetes
// (https://kubernetes.io/docs/concepts/overview/working-with-objects/labels/), parsed by
// that project's own library, so that operators can use a syntax that they know:
// "region in (lagos, abuja), role=review".
package declare
