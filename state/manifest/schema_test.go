package manifest_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	generator "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"

	"samphirehead/state/manifest"
)

const schemaPath = "../../config/manifest.schema.json"

var update = flag.Bool("update", false, "write "+schemaPath+" from the Go types")

func generateSchema(t *testing.T) []byte {
	t.Helper()
	r := &generator.Reflector{
		Anonymous:                  true,
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		Mapper:                     mapType,
		Namer:                      nameType,
	}
	if err := r.AddGoComments("samphirehead/state/manifest", "./"); err != nil {
		t.Fatal(err)
	}
	for name, text := range r.CommentMap {
		r.CommentMap[name] = strings.Join(strings.Fields(text), " ")
	}
	encoded, err := json.MarshalIndent(r.Reflect(&manifest.Manifest{}), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(encoded, '\n')
}

// mapType describes durations and named strings as text.
func mapType(t reflect.Type) *generator.Schema {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return &generator.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`}
	case t.Kind() == reflect.String:
		return &generator.Schema{Type: "string"}
	default:
		return nil
	}
}

// nameType keeps id.Class and manifest.Class apart.
func nameType(t reflect.Type) string {
	if t.Kind() == reflect.String {
		return t.String()
	}
	return t.Name()
}

func TestSchemaMatchesTypes(t *testing.T) {
	want := generateSchema(t)
	if *update {
		if err := os.WriteFile(schemaPath, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is out of date; run go test ./state/manifest -run Schema -update", schemaPath)
	}
}

func validate(t *testing.T, text string) error {
	t.Helper()
	schema, err := jsonschema.NewCompiler().Compile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := yaml.Unmarshal([]byte(text), &decoded); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	return schema.Validate(value)
}

func TestSchemaAcceptsSamples(t *testing.T) {
	for _, name := range samples {
		if err := validate(t, string(readSample(t, name))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := validate(t, smallManifest); err != nil {
		t.Error(err)
	}
}

func TestSchemaRejectsFaults(t *testing.T) {
	for replace, with := range map[string]string{
		"tier: 4":                    "teir: 4",
		"tier: 1":                    "tier: 0",
		"first_token: 400ms":         "first_token: 400",
		"total_deadline: 30s":        "total_deadline: soon",
		"kind: engine":               "kind: gpu",
		"semantics: at_most_once":    "semantics: once",
		"    address: 10.0.0.1:80\n": "",
		"[aaaa":                      "[AAAA",
		"minimum_share: 0.1":         "minimum_share: 1",
	} {
		if validate(t, strings.Replace(smallManifest, replace, with, 1)) == nil {
			t.Errorf("accepted with %q", with)
		}
	}
}
