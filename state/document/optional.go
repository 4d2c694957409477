package document

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

// decodePointer decodes an optional value. The pointer stays nil if the value is null.
func (d *Document) decodePointer(field string, node *yaml.Node, target reflect.Value) {
	if isNull(node) {
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.decodeValue(field, node, target.Elem())
}

// decodeMap decodes a mapping whose keys are names.
func (d *Document) decodeMap(field string, node *yaml.Node, target reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.MappingNode {
		d.AddFault(field, "want a mapping of names to values")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for i := 0; i < len(node.Content); i += 2 {
		d.decodeMapEntry(field, node.Content[i], node.Content[i+1], target)
	}
}

func (d *Document) decodeMapEntry(field string, keyNode, valueNode *yaml.Node, target reflect.Value) {
	path := joinPath(field, keyNode.Value)
	if want, ok := checkScalar(reflect.String, keyNode); !ok {
		d.AddFault(path, "want %s", want)
		return
	}
	key := reflect.ValueOf(keyNode.Value).Convert(target.Type().Key())
	if target.MapIndex(key).IsValid() {
		d.AddFault(path, "repeated key")
		return
	}
	value := reflect.New(target.Type().Elem()).Elem()
	d.decodeValue(path, valueNode, value)
	target.SetMapIndex(key, value)
}
