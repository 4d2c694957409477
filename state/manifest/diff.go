package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two manifests.
type Change struct {
	// Field names the item by its name and then the field, such as
	// "classes[juror_question].tier".
	Field string `json:"field"`
	// Before is empty where the item or field is new.
	Before string `json:"before"`
	// After is empty where the item or field is gone.
	After string `json:"after"`
}

func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s", c.Field, c.Before)
	default:
		return fmt.Sprintf("~ %s %s -> %s", c.Field, c.Before, c.After)
	}
}

// Diff lists what has to change in before to get after. The order of named
// items does not count, but for the classes of a workspace, where it matters.
func Diff(before, after *Manifest) []Change {
	var changes []Change
	changes = diffItems(changes, "classes", before.Classes, after.Classes)
	changes = diffItems(changes, "workspaces", before.Workspaces, after.Workspaces)
	changes = diffItems(changes, "models", before.Models, after.Models)
	changes = diffItems(changes, "upstreams", before.Upstreams, after.Upstreams)
	return diffItems(changes, "services", before.Services, after.Services)
}

func diffItems[T any](changes []Change, section string, before, after []T) []Change {
	old, current := byName(before), byName(after)
	for _, item := range before {
		if _, found := current[nameOf(item)]; !found {
			changes = append(changes, Change{Field: itemField(section, item), Before: "removed"})
		}
	}
	for _, item := range after {
		previous, existed := old[nameOf(item)]
		if !existed {
			changes = append(changes, Change{Field: itemField(section, item), After: "added"})
			continue
		}
		changes = diffFields(changes, itemField(section, item), reflect.ValueOf(previous), reflect.ValueOf(item))
	}
	return changes
}

func byName[T any](items []T) map[string]T {
	itemByName := make(map[string]T, len(items))
	for _, item := range items {
		itemByName[nameOf(item)] = item
	}
	return itemByName
}

func nameOf(item any) string { return reflect.ValueOf(item).FieldByName("Name").String() }

func itemField(section string, item any) string {
	return fmt.Sprintf("%s[%s]", section, nameOf(item))
}

func diffFields(changes []Change, field string, before, after reflect.Value) []Change {
	for i := range before.NumField() {
		key, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("yaml"), ",")
		old, current := before.Field(i), after.Field(i)
		switch {
		case reflect.DeepEqual(old.Interface(), current.Interface()):
		case old.Kind() == reflect.Struct:
			changes = diffFields(changes, field+"."+key, old, current)
		case key == "routes":
			changes = diffRoutes(changes, field, old.Interface().([]Route), current.Interface().([]Route))
		default:
			changes = append(changes, Change{Field: field + "." + key, Before: formatValue(old), After: formatValue(current)})
		}
	}
	return changes
}

func diffRoutes(changes []Change, field string, before, after []Route) []Change {
	for _, route := range before {
		if !slices.Contains(after, route) {
			changes = append(changes, Change{Field: field + ".routes", Before: route.String()})
		}
	}
	for _, route := range after {
		if !slices.Contains(before, route) {
			changes = append(changes, Change{Field: field + ".routes", After: route.String()})
		}
	}
	return changes
}

// String returns the route in one line.
func (r Route) String() string {
	return fmt.Sprintf("%s %s %s %s", r.Method, r.Path, r.Semantics, r.Class)
}

// show returns a value that is never empty, because an empty one marks the
// absence of the field.
func formatValue(value reflect.Value) string {
	text := fmt.Sprintf("%v", value.Interface())
	if text == "" {
		return `""`
	}
	return text
}
