package envdoc

// Target is the model, or the adapter with its model, that callers address by one name.
type Target struct {
	Pool    string
	Model   string // name@version of the model
	Adapter string // name@version of the adapter, empty for a model
	Class   string
	// NotRepeatable is the setting of the model, for its adapters as well.
	NotRepeatable bool
}

// Targets returns a target for every model and adapter, by the name that callers use.
func (d *Doc) Targets() map[string]Target {
	targets := make(map[string]Target, len(d.Models)+len(d.Adapters))
	for _, m := range d.Models {
		targets[m.Name] = Target{Pool: m.Pool, Model: m.Item(), Class: m.Class, NotRepeatable: m.NotRepeatable}
	}
	for _, a := range d.Adapters {
		t, ok := targets[a.Model]
		if !ok {
			continue
		}
		t.Adapter, t.Class = a.Item(), a.Class
		targets[a.Name] = t
	}
	return targets
}
