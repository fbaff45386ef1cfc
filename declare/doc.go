// Package declare holds what operators declare: regions, data centres, hosts,
// services, engines and selectors.
//
// A declaration is an Object. A Config is an immutable set of objects that has
// passed every check; a Change turns one Config into the next. Nothing in this
// package knows about the network or about replication: a Config is a value,
// and two equal sequences of changes give two equal configurations on every
// host.
//
// Selectors use the label expressions of Kubernetes
// (https://kubernetes.io/docs/concepts/overview/working-with-objects/labels/),
// read by that project's own library, so that operators can write what they
// know: "region in (lagos, abuja), role=review".
package declare
