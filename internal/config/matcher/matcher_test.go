package matcher_test

import (
	"fmt"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// newTestMatcher returns a configuration with nested prefixes and one account.
func newTestMatcher() *matcher.Matcher {
	return matcher.New(matcher.Config{
		Version: 3,
		Routes: []matcher.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "root", Host: "b.example", Prefix: "/"},
		},
		Accounts: []matcher.Account{{Name: "one", KeyDigests: []catalog.Digest{catalog.DigestOf("k1")}}},
	})
}

// A request must get the route with the longest matching prefix of its own host, or none.
func TestRouteIsNotLongestPrefix(t *testing.T) {
	m := newTestMatcher()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"a.example", "", ""},
		{"b.example", "/anything/at/all", "root"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r, ok := m.Route(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Route(%q, %q): got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Only a key of the configuration may give access to an account.
func TestUnknownKeyIsAccepted(t *testing.T) {
	m := newTestMatcher()
	if a, ok := m.AccountByKey("k1"); !ok || a.Name != "one" {
		t.Error("got no account for key k1, want account one")
	}
	if _, ok := m.AccountByKey("k2"); ok {
		t.Error("got an account for the unknown key k2, want none")
	}
}

// Requests must be split in proportion to the weights, with none for a weight of zero.
func TestServiceSplitIgnoresWeights(t *testing.T) {
	r := matcher.Route{Services: []matcher.WeightedService{
		{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"},
	}}
	got := map[string]int{}
	for random := range uint64(1000) {
		got[r.PickService(random)]++
	}
	if got["a"] != 900 || got["b"] != 100 || got["c"] != 0 {
		t.Errorf("got requests by service %v, want a 900, b 100", got)
	}
}

// BenchmarkRoute looks up one of 5000 routes of a host.
func BenchmarkRoute(b *testing.B) {
	var routes []matcher.Route
	for i := range 5000 {
		routes = append(routes, matcher.Route{Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i)})
	}
	m := matcher.New(matcher.Config{Version: 1, Routes: routes})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := m.Route("a.example", "/r4711/2f"); !ok {
			b.Fatal("got no route for /r4711/2f, want one")
		}
	}
}
