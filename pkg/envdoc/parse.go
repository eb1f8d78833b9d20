package envdoc

import (
	"go.yaml.in/yaml/v3"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/find"
)

// Parse decodes a document from YAML, sets defaults and checks it.
// The error is a *find.List with all findings, each of which names file.
func Parse(file string, body []byte) (*Doc, error) {
	list := &find.List{File: file}
	var d Doc
	decoded := strict.Decode(list, body, &d)
	if decoded == nil {
		return nil, list.Err()
	}
	d.inheritClasses()
	c := checker{Decoded: decoded, doc: &d, list: list}
	c.check()
	if err := list.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Encode returns the document as YAML; for a document that Parse returned, Parse accepts the result.
func (d *Doc) Encode() ([]byte, error) {
	return yaml.Marshal(d)
}

// Sets the class of adapters without one to that of their model.
func (d *Doc) inheritClasses() {
	classes := make(map[string]string, len(d.Models))
	for _, m := range d.Models {
		classes[m.Name] = m.Class
	}
	for i := range d.Adapters {
		if a := &d.Adapters[i]; a.Class == "" {
			a.Class = classes[a.Model]
		}
	}
}
