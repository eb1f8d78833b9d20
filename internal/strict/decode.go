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
	// Decoded is a decoded file with the line of each of its fields.
	Decoded struct {
		list        *find.List
		lines       map[string]int
		undecodable map[string]bool // paths of fields whose value could not be decoded
	}
)

// Decode decodes YAML into out, a pointer to a struct, and adds a finding to list for everything that does not fit the
// type of out. Absent fields take the value of their default tag. The result is nil when body is empty or not YAML.
func Decode(list *find.List, body []byte, out any) *Decoded {
	d := &Decoded{list: list, lines: make(map[string]int)}
	v := reflect.ValueOf(out).Elem()
	setDefaults(v)
	root := d.parseYAML(body)
	if root == nil {
		return nil
	}
	d.decodeValue(root, "", v)
	d.undecodable = list.Fields()
	return d
}

// Default returns a struct as Decode returns it for a file without fields.
func Default[T any]() T {
	var v T
	setDefaults(reflect.ValueOf(&v).Elem())
	return v
}

func (d *Decoded) parseYAML(body []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(body))
	var doc, second yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		d.list.Add(0, "document", "is empty")
		return nil
	} else if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	if err := dec.Decode(&second); err == nil {
		d.list.Add(second.Line, "document", "a file holds only one YAML document")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxError(err)
	}
	return doc.Content[0]
}

func (d *Decoded) addSyntaxError(err error) {
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		d.list.Add(line, "document", "%s", m[2])
		return
	}
	d.list.Add(0, "document", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
}

func (d *Decoded) decodeValue(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// Nested aliases let a small file expand to a document of unlimited size.
		d.addFindingAt(n, path, "anchors and aliases are not supported")
		return
	}
	if n.Tag == "!!null" {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(n, path, v)
	case reflect.Slice:
		d.decodeSequence(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *Decoded) decodeMapping(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addFindingAt(n, path, "must be a mapping")
		return
	}
	fields := fieldsByName(v)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode || key.Value == "" {
			d.addFindingAt(key, path, "a field name must be text")
			continue
		}
		child := strings.TrimPrefix(path+"."+key.Value, ".")
		field, known := fields[key.Value]
		if !known {
			d.addFindingAt(key, child, "unknown field")
			continue
		}
		if line, duplicate := d.lines[child]; duplicate {
			d.addFindingAt(key, child, "is already set at line %d", line)
			continue
		}
		d.lines[child] = key.Line
		d.decodeValue(n.Content[i+1], child, field)
	}
}

func (d *Decoded) decodeSequence(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addFindingAt(n, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		child := fmt.Sprintf("%s[%d]", path, i)
		d.lines[child] = item.Line
		setDefaults(v.Index(i))
		d.decodeValue(item, child, v.Index(i))
	}
}

func (d *Decoded) decodeScalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.addFindingAt(n, path, "must be %s", typeName(v.Kind()))
		return
	}
	// The YAML library drops the fraction of a number that it decodes into an integer, without an error.
	notInteger := v.CanInt() && n.ShortTag() != "!!int"
	if err := n.Decode(v.Addr().Interface()); err != nil || notInteger {
		v.SetZero()
		d.addFindingAt(n, path, "must be %s, is %q", typeName(v.Kind()), n.Value)
	}
}

func (d *Decoded) addFindingAt(n *yaml.Node, path, format string, args ...any) {
	if path == "" {
		path = "document"
	}
	d.list.Add(n.Line, path, format, args...)
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

func typeName(k reflect.Kind) string {
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
