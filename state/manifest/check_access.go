package manifest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"samphirehead/state/id"
)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9_.~/-]*$`)

	routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

func (c *checker) checkWorkspaces() {
	c.checkNotEmpty("workspaces", len(c.manifest.Workspaces))
	owners := map[string]id.Workspace{}
	for i, workspace := range c.manifest.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(field+".name", string(workspace.Name))
		c.checkKeys(field+".key_sha256", workspace, owners)
		c.checkNotEmpty(field+".classes", len(workspace.Classes))
		seen := map[id.Class]bool{}
		for j, class := range workspace.Classes {
			checkReference(c, fmt.Sprintf("%s.classes[%d]", field, j), "class", class, c.classes, seen)
		}
		c.checkLimit(field+".requests_per_second", workspace.RequestsPerSecond)
		c.checkLimit(field+".tokens_per_second", workspace.TokensPerSecond)
	}
}

func (c *checker) checkKeys(field string, workspace Workspace, owners map[string]id.Workspace) {
	c.checkNotEmpty(field, len(workspace.KeySHA256))
	for i, digest := range workspace.KeySHA256 {
		digestField := fmt.Sprintf("%s[%d]", field, i)
		if !digestPattern.MatchString(digest) {
			c.fault(digestField, "want the SHA-256 of a key as 64 lower-case hex digits")
			continue
		}
		if owner, duplicate := owners[digest]; duplicate {
			c.fault(digestField, "workspace %q has this key already", owner)
		}
		owners[digest] = workspace.Name
	}
}

func (c *checker) checkLimit(field string, value float64) {
	if value < 0 {
		c.fault(field, "want 0 (no limit) or more")
	}
}

func (c *checker) checkServices() {
	for i, service := range c.manifest.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.checkName(field+".name", string(service.Name))
		c.checkNotEmpty(field+".routes", len(service.Routes))
		seen := map[string]bool{}
		for j, route := range service.Routes {
			routeField := fmt.Sprintf("%s.routes[%d]", field, j)
			c.checkRoute(routeField, route)
			call := route.Method + " " + route.Path
			if seen[call] {
				c.fault(routeField+".path", "%q is listed twice", call)
			}
			seen[call] = true
		}
	}
}

func (c *checker) checkRoute(field string, route Route) {
	if !slices.Contains(routeMethods, route.Method) {
		c.fault(field+".method", "want one of %s", strings.Join(routeMethods, ", "))
	}
	prefix, _ := splitWildcard(route.Path)
	if !pathPattern.MatchString(prefix) || !isCanonicalPath(prefix) {
		c.fault(field+".path", `want a path such as "/bookings" or "/status/*"`)
	}
	switch route.Semantics {
	case AtMostOnce, Idempotent:
	default:
		c.fault(field+".semantics", "want %s or %s", AtMostOnce, Idempotent)
	}
	checkReference(c, field+".class", "class", route.Class, c.classes, nil)
}

// wildcard splits off a final "/*"; the prefix keeps its slash.
func splitWildcard(path string) (prefix string, found bool) {
	if strings.HasSuffix(path, "/*") {
		return strings.TrimSuffix(path, "*"), true
	}
	return path, false
}

// plainPath says whether every reader of the path finds the same segments in
// it: no empty or dot segment, no escape left over.
func isCanonicalPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "%\\;?#\x00") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return false
		}
	}
	return true
}
