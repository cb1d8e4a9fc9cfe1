package parser

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

const usesText = "[list]\nversion = 1\n[plan p]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"

func plansText(accounts int) string {
	var b strings.Builder
	b.WriteString("[list]\nversion = 1\n")
	for i := range accounts {
		fmt.Fprintf(&b, "[account a%d]\nplan = p\nkeys = %064x\nrate = 1000\nburst = 20000\n", i, i+1)
	}
	return b.String()
}

func mustParse(t testing.TB, plans string) *catalog.Catalog {
	t.Helper()
	c, findings := Parse(ListText{Name: "plans", Body: []byte(plans)}, ListText{Name: "uses", Body: []byte(usesText)})
	if len(findings) > 0 {
		t.Fatal(findings[:min(5, len(findings))])
	}
	return c
}

func TestCatalogLookups(t *testing.T) {
	c := mustParse(t, plansText(3))
	if a, ok := c.AccountByKey(catalog.Digest{31: 2}); !ok || a.Name != "a1" {
		t.Errorf("key 2 belongs to %v", a)
	}
	if _, ok := c.AllowedRoute("p", catalog.RouteModel, "m"); !ok {
		t.Error("plan p does not allow model m")
	}
	if _, ok := c.AllowedRoute("p", catalog.RouteModel, "other"); ok {
		t.Error("plan p allows another model")
	}
}

// FuzzParse looks for texts that make the parser panic, or that it accepts though an account is not usable.
func FuzzParse(f *testing.F) {
	f.Add(plansText(2), usesText)
	f.Add("[account a]\nplan=p\nplan=q\nrate=NaN\nburst=1e400\nkeys=,", "[route r]\nkind=open\n[plan")
	f.Fuzz(func(t *testing.T, plans, uses string) {
		c, findings := Parse(ListText{Name: "plans", Body: []byte(plans)}, ListText{Name: "uses", Body: []byte(uses)})
		if (c == nil) != (len(findings) > 0) {
			t.Fatalf("catalog %v with findings %v", c, findings)
		}
		if c == nil {
			return
		}
		for _, a := range c.Accounts() {
			if !(a.TokensPerSecond > 0) || !(a.BurstTokens > 0) || !(a.Weight > 0) || len(a.Keys) == 0 {
				t.Fatalf("accepted account %+v", a)
			}
		}
	})
}

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

func BenchmarkVersion(b *testing.B) {
	text := ListText{Name: "plans", Body: []byte(plansText(16000))}
	for b.Loop() {
		if v, ok := ListVersion(text); !ok || v != 1 {
			b.Fatal(v, ok)
		}
	}
}

func BenchmarkByKey(b *testing.B) {
	c := mustParse(b, plansText(6000))
	for b.Loop() {
		c.AccountByKey(catalog.DigestOf("key-of-a-caller"))
	}
}
