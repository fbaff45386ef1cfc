// This file defines the JSON encoding of objects: an envelope that holds the kind and the
// object, so that decoding restores the concrete type behind the Object interface.

package declare

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Envelope encodes one Object, together with its kind, as JSON and gob.
type Envelope struct {
	Object Object
}

type envelopeJSON struct {
	Kind Kind            `json:"kind"`
	Spec json.RawMessage `json:"spec"`
}

// MarshalJSON writes {"kind": …, "spec": …}.
func (e Envelope) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(e.Object)
	if err != nil {
		return nil, errors.Annotatef(err, "encode %s", e.Object.Ref())
	}
	return json.Marshal(envelopeJSON{Kind: e.Object.Ref().Kind, Spec: spec})
}

// UnmarshalJSON decodes the output of MarshalJSON. An unknown kind is an error.
func (e *Envelope) UnmarshalJSON(data []byte) error {
	var raw envelopeJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Annotate(err, "envelope")
	}
	object, err := decodeSpec(raw.Kind, func(into any) error { return json.Unmarshal(raw.Spec, into) })
	if err != nil {
		return errors.Trace(err)
	}
	e.Object = object
	return nil
}

// decodeSpec creates an object of the given kind and passes a pointer to it to decode.
func decodeSpec(kind Kind, decode func(into any) error) (Object, error) {
	switch kind {
	case KindRegion:
		return decodeAs[Region](decode)
	case KindDataCentre:
		return decodeAs[DataCentre](decode)
	case KindHost:
		return decodeAs[Host](decode)
	case KindService:
		return decodeAs[Service](decode)
	case KindEngine:
		return decodeAs[Engine](decode)
	case KindSelector:
		return decodeAs[Selector](decode)
	default:
		return nil, errors.NotValidf("kind %q", kind)
	}
}

func decodeAs[T Object](decode func(into any) error) (Object, error) {
	var object T
	if err := decode(&object); err != nil {
		return nil, err
	}
	return object, nil
}

// GobEncode implements gob.GobEncoder, by way of JSON.
func (e Envelope) GobEncode() ([]byte, error) { return e.MarshalJSON() }

// GobDecode implements gob.GobDecoder.
func (e *Envelope) GobDecode(data []byte) error { return e.UnmarshalJSON(data) }

// GobEncode implements gob.GobEncoder, by way of JSON.
func (c Config) GobEncode() ([]byte, error) { return c.MarshalJSON() }

// GobDecode implements gob.GobDecoder.
func (c *Config) GobDecode(data []byte) error { return c.UnmarshalJSON(data) }
