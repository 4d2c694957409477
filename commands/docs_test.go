package commands_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"samphirehead/commands"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
)

func readDoc(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../" + path)
	if err != nil {
		t.Error(err)
	}
	return string(data)
}

func TestManualPagesDocumentEveryFlag(t *testing.T) {
	commander := subcommands.NewCommander(flag.NewFlagSet("samphirehead", flag.ContinueOnError), "samphirehead")
	commands.Register(commander)
	commander.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
		page := readDoc(t, "docs/man/"+c.Name()+".md")
		if strings.Contains(page, "operator-flags.md") {
			page += readDoc(t, "docs/man/operator-flags.md")
		}
		flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		c.SetFlags(flags)
		flags.VisitAll(func(f *flag.Flag) {
			if !regexp.MustCompile(`-` + f.Name + `\b`).MatchString(page) {
				t.Errorf("the page of %s lacks -%s", c.Name(), f.Name)
			}
		})
	})
}

func TestManualPagesDocumentEveryKey(t *testing.T) {
	for page, root := range map[string]reflect.Type{
		"docs/man/settings.md": reflect.TypeFor[settings.Settings](),

		"docs/man/router-settings.md": reflect.TypeFor[settings.Router](),
		"docs/man/manifest.md":        reflect.TypeFor[manifest.Manifest](),
	} {
		text := readDoc(t, page)
		for _, key := range yamlKeys(root) {
			if !regexp.MustCompile(`\b` + key + `\b`).MatchString(text) {
				t.Errorf("%s lacks %s", page, key)
			}
		}
	}
}

// keysOf lists the keys of a struct and of those inside it.
func yamlKeys(t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		return yamlKeys(t.Elem())
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if key != "-" {
			keys = append(append(keys, key), yamlKeys(t.Field(i).Type)...)
		}
	}
	return keys
}

var markdownLink = regexp.MustCompile(`\]\(([^)#]+)\)`)

func TestDocumentLinksResolve(t *testing.T) {
	for _, pattern := range []string{"../*.md", "../docs/*.md", "../docs/man/*.md"} {
		pages, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range pages {
			for _, match := range markdownLink.FindAllStringSubmatch(readDoc(t, strings.TrimPrefix(page, "../")), -1) {
				target := filepath.Join(filepath.Dir(page), match[1])
				if _, err := os.Stat(target); err != nil && !strings.HasPrefix(match[1], "http") {
					t.Errorf("%s: %v", page, err)
				}
			}
		}
	}
}
