package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/figreel/figreel/pkg/find"
)

var syntaxError = regexp.MustCompile(`(?s)^yaml: line (\d+): (.*)$`)

type (
	// Decoded is a decoded file, which knows at which line each field is.
	Decoded struct {
		list    *find.List
		lines   map[string]int
		decoded map[string]bool // fields whose value could not be decoded
	}
)

// Decode fills out, a pointer to a struct, from YAML, and adds everything that does not fit its type to list.
// Fields that are absent take the value of their default tag; the result is nil when body is not YAML at all.
func Decode(list *find.List, body []byte, out any) *Decoded {
	f := &Decoded{list: list, lines: make(map[string]int)}
	v := reflect.ValueOf(out).Elem()
	setDefaults(v)
	root := f.parse(body)
	if root == nil {
		return nil
	}
	f.value(root, "", v)
	f.decoded = list.Fields()
	return f
}

func (f *Decoded) parse(body []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(body))
	var doc, second yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		f.list.Add(0, "document", "is empty")
		return nil
	} else if err != nil {
		f.syntax(err)
		return nil
	}
	if err := dec.Decode(&second); err == nil {
		f.list.Add(second.Line, "document", "a file holds only one YAML document")
	} else if !errors.Is(err, io.EOF) {
		f.syntax(err)
	}
	return doc.Content[0]
}

func (f *Decoded) syntax(err error) {
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		f.list.Add(line, "document", "%s", m[2])
		return
	}
	f.list.Add(0, "document", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
}

func (f *Decoded) value(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// A few aliases can expand to a document of any size.
		f.found(n, path, "anchors and aliases are not supported")
		return
	}
	if n.Tag == "!!null" {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.mapping(n, path, v)
	case reflect.Slice:
		f.sequence(n, path, v)
	default:
		f.scalar(n, path, v)
	}
}

func (f *Decoded) mapping(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		f.found(n, path, "must be a mapping")
		return
	}
	fields := fieldsByName(v)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode || key.Value == "" {
			f.found(key, path, "a field name must be text")
			continue
		}
		child := strings.TrimPrefix(path+"."+key.Value, ".")
		field, known := fields[key.Value]
		if !known {
			f.found(key, child, "unknown field")
			continue
		}
		if first, again := f.lines[child]; again {
			f.found(key, child, "is already set at line %d", first)
			continue
		}
		f.lines[child] = key.Line
		f.value(n.Content[i+1], child, field)
	}
}

func (f *Decoded) sequence(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		f.found(n, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		child := fmt.Sprintf("%s[%d]", path, i)
		f.lines[child] = item.Line
		setDefaults(v.Index(i))
		f.value(item, child, v.Index(i))
	}
}

func (f *Decoded) scalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		f.found(n, path, "must be %s", describe(v.Kind()))
		return
	}
	// The YAML library cuts the fraction off a number that it decodes as an integer.
	fraction := v.CanInt() && n.ShortTag() != "!!int"
	if err := n.Decode(v.Addr().Interface()); err != nil || fraction {
		v.SetZero()
		f.found(n, path, "must be %s, is %q", describe(v.Kind()), n.Value)
	}
}

func (f *Decoded) found(n *yaml.Node, path, format string, args ...any) {
	if path == "" {
		path = "document"
	}
	f.list.Add(n.Line, path, format, args...)
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func setDefaults(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		setDefaults(v.Field(i))
		tag, ok := v.Type().Field(i).Tag.Lookup("default")
		if !ok {
			continue
		}
		if err := yaml.Unmarshal([]byte(tag), v.Field(i).Addr().Interface()); err != nil {
			panic(fmt.Sprintf("default tag of %s.%s: %s", v.Type(), v.Type().Field(i).Name, err))
		}
	}
}

func describe(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "text"
	default:
		return "a whole number"
	}
}
