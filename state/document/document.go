package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document is a decoded file that collects faults.
type Document struct {
	name         string
	faults       []Fault
	faultyFields map[string]bool
	lines        map[string]int
}

// Decode reads data as one YAML document into target, a pointer to a struct
// whose fields have yaml tags. Fields that the file leaves out keep their
// values. The name of the file serves for messages only. The error, a *Faults,
// is for a file that is not YAML; other faults are collected in the document.
func Decode(name string, data []byte, target any) (*Document, error) {
	d := &Document{name: name, faultyFields: map[string]bool{}, lines: map[string]int{}}
	root, err := parse(data)
	if err != nil {
		line, message := splitParserError(err)
		return nil, &Faults{Name: name, List: []Fault{{Line: line, Message: message}}}
	}
	d.decode(root, target)
	return d, nil
}

// Fault records something wrong with the value at field, or with its nearest
// parent that the file contains.
func (d *Document) AddFault(field, format string, args ...any) {
	d.faultyFields[field] = true
	d.faults = append(d.faults, Fault{
		Line:    d.lineOf(field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// Err returns a *Faults with everything found so far, or nil.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	f := &Faults{Name: d.name, List: d.faults}
	f.sort()
	return f
}

// Faulty says whether a fault of the value at field is recorded.
func (d *Document) HasFault(field string) bool { return d.faultyFields[field] }

func (d *Document) lineOf(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = parentPath(field)
	}
	return 1
}

func parentPath(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}

func parse(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, errors.New("the file is empty")
	}
	if err != nil {
		return nil, err
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, errors.New("the file contains more than one document")
	}
	return document.Content[0], nil
}

var parserLine = regexp.MustCompile(`^yaml: line (\d+): `)

func splitParserError(err error) (line int, message string) {
	message = err.Error()
	match := parserLine.FindStringSubmatch(message)
	if match == nil {
		return 1, strings.TrimPrefix(message, "yaml: ")
	}
	line, _ = strconv.Atoi(match[1])
	return line, message[len(match[0]):]
}
