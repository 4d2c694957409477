package document

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decode(root *yaml.Node, target any) {
	d.decodeValue("", root, reflect.ValueOf(target).Elem())
}

func (d *Document) decodeValue(field string, node *yaml.Node, target reflect.Value) {
	if _, known := d.lines[field]; !known {
		d.lines[field] = node.Line
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.AddFault(field, "anchors and aliases are not supported")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeMapping(field, node, target)
	case reflect.Slice:
		d.decodeSequence(field, node, target)
	case reflect.Map:
		d.decodeMap(field, node, target)
	case reflect.Pointer:
		d.decodePointer(field, node, target)
	default:
		d.decodeScalar(field, node, target)
	}
}

func (d *Document) decodeMapping(field string, node *yaml.Node, target reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.MappingNode {
		d.AddFault(field, "want a mapping of keys to values")
		return
	}
	fields := fieldsByKey(target)
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		key := node.Content[i]
		path := joinPath(field, key.Value)
		d.lines[path] = key.Line
		value, known := fields[key.Value]
		switch {
		case !known || key.Kind != yaml.ScalarNode:
			d.AddFault(path, "unknown key")
		case seen[key.Value]:
			d.AddFault(path, "repeated key")
		default:
			d.decodeValue(path, node.Content[i+1], value)
		}
		seen[key.Value] = true
	}
}

func (d *Document) decodeSequence(field string, node *yaml.Node, target reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.AddFault(field, "want a list")
		return
	}
	if len(node.Content) == 0 {
		target.SetZero()
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		d.decodeValue(fmt.Sprintf("%s[%d]", field, i), item, target.Index(i))
	}
}

func (d *Document) decodeScalar(field string, node *yaml.Node, target reflect.Value) {
	if target.Type() == durationType {
		d.decodeDuration(field, node, target)
		return
	}
	want, ok := checkScalar(target.Kind(), node)
	if !ok {
		d.AddFault(field, "want %s", want)
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		d.AddFault(field, "want %s", want)
		return
	}
	if target.Kind() == reflect.Float64 && (math.IsNaN(target.Float()) || math.IsInf(target.Float(), 0)) {
		d.AddFault(field, "want a finite number")
		target.SetZero()
	}
}

func (d *Document) decodeDuration(field string, node *yaml.Node, target reflect.Value) {
	const want = `want a duration such as "350ms" or "2m"`
	if node.Kind != yaml.ScalarNode || node.ShortTag() != "!!str" {
		d.AddFault(field, want)
		return
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil {
		d.AddFault(field, want)
		return
	}
	target.SetInt(int64(value))
}

// checkScalar describes the values that a field of this kind accepts and reports
// whether node is one of them.
func checkScalar(kind reflect.Kind, node *yaml.Node) (want string, ok bool) {
	tag := ""
	if node.Kind == yaml.ScalarNode {
		tag = node.ShortTag()
	}
	switch kind {
	case reflect.String:
		return "a string (quote it if it looks like a number)", tag == "!!str"
	case reflect.Bool:
		return "true or false", tag == "!!bool"
	case reflect.Int, reflect.Int64:
		return "a whole number", tag == "!!int"
	case reflect.Float64:
		return "a number", tag == "!!float" || tag == "!!int"
	default:
		return "nothing: the field cannot be set", false
	}
}

func fieldsByKey(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			fields[key] = target.Field(i)
		}
	}
	return fields
}

func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null"
}

func joinPath(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}
