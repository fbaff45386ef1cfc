// This file defines the subcommands that change the configuration.

package main

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
)

// folderFlags holds the flags of apply and diff.
type folderFlags struct {
	dir   string
	prune bool
	base  int
	id    string
}

func (f *folderFlags) register(c *flaggy.Subcommand) {
	c.AddPositionalValue(&f.dir, "folder", 1, true, "folder of declarations")
	c.Bool(&f.prune, "p", "prune", "delete services, engines and selectors that the folder lacks")
}

// plan is the change that makes the configuration match the declarations of a folder,
// with a summary line for each object that is added (+), changed (~) or deleted (-).
type plan struct {
	change  declare.Change
	loaded  []declare.LoadedObject
	summary []string
}

func (t *tool) plan(ctx context.Context, f *folderFlags) (plan, error) {
	loaded, faults := declare.ReadFolder(f.dir)
	if len(faults) > 0 {
		return plan{}, declare.LoadErrors(faults)
	}
	config, err := t.client.Config(ctx)
	if err != nil {
		return plan{}, errors.Annotate(err, "present configuration")
	}
	p := plan{loaded: loaded, change: declare.Change{ID: f.id, Base: config.Revision(), Author: t.author}}
	if p.change.ID == "" {
		p.change.ID = uuid.NewString()
	}
	declared := map[declare.Ref]bool{}
	for _, l := range loaded {
		ref := l.Object.Ref()
		declared[ref] = true
		old, known := config.Get(ref)
		switch {
		case !known:
			p.summary = append(p.summary, "+ "+ref.String())
		case !reflect.DeepEqual(old, l.Object):
			p.summary = append(p.summary, "~ "+ref.String())
		default:
			continue
		}
		p.change.Puts = append(p.change.Puts, declare.Envelope{Object: l.Object})
	}
	if f.prune {
		p.prune(config, declared)
	}
	return p, nil
}

func (p *plan) prune(config declare.Config, declared map[declare.Ref]bool) {
	for _, object := range config.Objects() {
		ref := object.Ref()
		switch object.(type) {
		case declare.Service, declare.Engine, declare.Selector:
			if !declared[ref] {
				p.change.Deletes = append(p.change.Deletes, ref)
				p.summary = append(p.summary, "- "+ref.String())
			}
		}
	}
}

func applyCommand() subcommand {
	f := &folderFlags{base: -1}
	c := flaggy.NewSubcommand("apply")
	c.Description = "bring the configuration to a folder's content, as one change"
	f.register(c)
	c.Int(&f.base, "b", "base", "revision that the folder was made from; default the present one")
	c.String(&f.id, "i", "id", "ID of the change, to send one again whose answer was lost")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		p, err := t.plan(ctx, f)
		if err != nil {
			return err
		}
		if f.base >= 0 {
			p.change.Base = uint64(f.base)
		}
		if len(p.summary) == 0 {
			fmt.Println("nothing to change")
			return nil
		}
		fmt.Println(strings.Join(p.summary, "\n"))
		return t.submit(ctx, p.change, p.loaded)
	}}
}

func diffCommand() subcommand {
	f := &folderFlags{}
	c := flaggy.NewSubcommand("diff")
	c.Description = "show what apply would change"
	f.register(c)
	return subcommand{c, func(ctx context.Context, t *tool) error {
		p, err := t.plan(ctx, f)
		if err != nil {
			return err
		}
		if len(p.summary) == 0 {
			fmt.Println("nothing to change")
			return nil
		}
		fmt.Println(strings.Join(p.summary, "\n"))
		_, err = p.validate(ctx, t)
		return err
	}}
}

// validate applies the change to the current configuration and returns the result, or the
// faults that make it invalid with their positions in the folder's files.
func (p *plan) validate(ctx context.Context, t *tool) (declare.Config, error) {
	config, err := t.client.Config(ctx)
	if err != nil {
		return declare.Config{}, errors.Trace(err)
	}
	next, err := config.Apply(p.change)
	return next, declare.WithPositions(err, p.loaded)
}

func deleteCommand() subcommand {
	ref, id := "", ""
	c := flaggy.NewSubcommand("delete")
	c.Description = "delete one object"
	c.AddPositionalValue(&ref, "kind/name", 1, true, "for example Engine/review-1")
	c.String(&id, "i", "id", "ID of the change")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		config, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		parsed, err := parseRef(ref)
		if err != nil {
			return err
		}
		return t.submit(ctx, declare.Change{ID: idOrNew(id), Base: config.Revision(), Author: t.author, Deletes: []declare.Ref{parsed}}, nil)
	}}
}

func labelCommand() subcommand {
	engine, pair, id := "", "", ""
	c := flaggy.NewSubcommand("label")
	c.Description = "set one label of an engine; state=stopping and state=serving stop and start it"
	c.AddPositionalValue(&engine, "engine", 1, true, "name of the engine")
	c.AddPositionalValue(&pair, "key=value", 2, true, "label")
	c.String(&id, "i", "id", "ID of the change")
	return subcommand{c, func(ctx context.Context, t *tool) error {
		config, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		object, ok := config.Get(declare.Ref{Kind: declare.KindEngine, Name: engine})
		if !ok {
			return errors.NotFoundf("engine %q", engine)
		}
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return errors.NotValidf("label %q (key=value)", pair)
		}
		changed := object.(declare.Engine).WithLabel(key, value)
		if key == "state" {
			changed = object.(declare.Engine).WithState(declare.EngineState(value))
		}
		change := declare.Change{ID: idOrNew(id), Base: config.Revision(), Author: t.author, Puts: []declare.Envelope{{Object: changed}}}
		return t.submit(ctx, change, nil)
	}}
}

func idOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

func parseRef(text string) (declare.Ref, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok {
		return declare.Ref{}, errors.NotValidf("%q (Kind/name)", text)
	}
	return declare.Ref{Kind: declare.Kind(kind), Name: name}, nil
}

// submit sends a change, and prints its outcome and what the operator can do next. It
// returns errRejected if the change was not accepted. If the outcome isn't known, the
// same change can be sent again under its ID.
func (t *tool) submit(ctx context.Context, change declare.Change, loaded []declare.LoadedObject) error {
	out, err := t.client.Change(ctx, change)
	if err != nil {
		return errors.Annotatef(err, "the outcome of change %s isn't known; send it again with --id %s", change.ID, change.ID)
	}
	switch out.Status {
	case control.StatusAccepted:
		fmt.Printf("accepted as revision %d, in force everywhere\n", out.Revision)
		return nil
	case control.StatusInvalid:
		if located := declare.WithPositions(&declare.InvalidError{Faults: out.Faults}, loaded); len(out.Faults) > 0 {
			fmt.Printf("not accepted, the configuration would not be sound:\n%v\n", located)
			return errRejected
		}
		fmt.Printf("not accepted: %s\n", out.Why)
	case control.StatusStale:
		fmt.Printf("not accepted: made from revision %d, but %d is in force; since then:\n", change.Base, out.Revision)
		for _, r := range out.Since {
			fmt.Printf("  %d by %s: %v\n", r.Revision, r.Author, r.Objects)
		}
		fmt.Println("look at the difference and apply again")
	case control.StatusRefused:
		fmt.Printf("not accepted, and not in force anywhere: %s\n", out.Why)
		fmt.Println("it matters to data centres that can't be reached; apply again when they are, or see docs/operations/change-refused.md")
	default:
		fmt.Printf("not accepted: %s\n", out.Why)
	}
	return errRejected
}
