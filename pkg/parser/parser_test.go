package parser

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// usesText is a uses list with plan p, which may use model m.
const usesText = "[list]\nversion = 1\n[plan p]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"

// plansText returns a plans list with the given number of accounts a0, a1 and so on. The key digest of account a0 is
// the number 1, that of a1 is 2.
func plansText(accounts int) string {
	var b strings.Builder
	b.WriteString("[list]\nversion = 1\n")
	for i := range accounts {
		fmt.Fprintf(&b, "[account a%d]\nplan = p\nkeys = %064x\nrate = 1000\nburst = 20000\n", i, i+1)
	}
	return b.String()
}

// mustParse parses a plans list together with usesText and fails the test on any finding.
func mustParse(t testing.TB, plans string) *catalog.Catalog {
	t.Helper()
	c, findings := Parse(ListText{Name: "plans", Body: []byte(plans)}, ListText{Name: "uses", Body: []byte(usesText)})
	if len(findings) > 0 {
		t.Fatalf("got %d findings, want none; the first are:\n%v", len(findings), findings[:min(5, len(findings))])
	}
	return c
}

// TestCatalogLookups guards against callers who get rights that they do not have, from a lookup by key that returns
// another account or a plan that allows a model it does not name.
func TestCatalogLookups(t *testing.T) {
	c := mustParse(t, plansText(3))
	if a, ok := c.AccountByKey(catalog.Digest{31: 2}); !ok || a.Name != "a1" {
		t.Errorf("key 2 belongs to account %v, want a1", a)
	}
	if _, ok := c.AllowedRoute("p", catalog.RouteModel, "m"); !ok {
		t.Error("plan p does not allow model m, want it allowed")
	}
	if _, ok := c.AllowedRoute("p", catalog.RouteModel, "other"); ok {
		t.Error("plan p allows model other, want only model m")
	}
}

// FuzzParse searches for lists that make Parse panic, that give neither a catalog nor findings or both, or that Parse
// accepts although an account has no key or a limit that is not positive.
func FuzzParse(f *testing.F) {
	f.Add(plansText(2), usesText)
	f.Add("[account a]\nplan=p\nplan=q\nrate=NaN\nburst=1e400\nkeys=,", "[route r]\nkind=open\n[plan")
	f.Fuzz(func(t *testing.T, plans, uses string) {
		c, findings := Parse(ListText{Name: "plans", Body: []byte(plans)}, ListText{Name: "uses", Body: []byte(uses)})
		if (c == nil) != (len(findings) > 0) {
			t.Fatalf("got catalog %v and findings %v, want exactly one of them", c, findings)
		}
		if c == nil {
			return
		}
		for _, a := range c.Accounts() {
			if !(a.TokensPerSecond > 0) || !(a.BurstTokens > 0) || !(a.Weight > 0) || len(a.Keys) == 0 {
				t.Fatalf("accepted account %+v, want a key and positive rate, burst and weight", a)
			}
		}
	})
}

// BenchmarkParse parses lists of 1,000 to 16,000 accounts.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		text := plansText(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				mustParse(b, text)
			}
		})
	}
}

// BenchmarkVersion reads the version of a list of 16,000 accounts, of which only the first section is parsed.
func BenchmarkVersion(b *testing.B) {
	text := ListText{Name: "plans", Body: []byte(plansText(16000))}
	for b.Loop() {
		if v, ok := ListVersion(text); !ok || v != 1 {
			b.Fatalf("got version %d, %t, want 1, true", v, ok)
		}
	}
}

// BenchmarkByKey looks up an unknown API key among 6,000 accounts, including the digest of the key.
func BenchmarkByKey(b *testing.B) {
	c := mustParse(b, plansText(6000))
	for b.Loop() {
		c.AccountByKey(catalog.DigestOf("key-of-a-caller"))
	}
}
