// Package parser reads the two lists: customers' plans, and what each plan may use. The whole of
// both is checked before any of it is accepted.
package parser

import (
	"bytes"
	"encoding/hex"
	"math"
	"regexp"
	"strconv"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/finding"
	"github.com/pistachiovane/pistachiovane/pkg/inifile"
)

const (
	// maxTokensPerSecond and maxBurst bound a plan in tokens.
	maxTokensPerSecond = 1e9
	maxBurstTokens     = 1e10
	// maxWeight bounds the share in fair queues.
	maxWeight = 1000
	// maxOutputTokens bounds max_tokens.
	maxOutputTokens = 100000
	// maxCostTokens bounds the charge of one call in tokens.
	maxCostTokens = 1e6
	// maxKeysPerAccount bounds the keys of one account.
	maxKeysPerAccount = 16
)

// listSection is the section that holds the version of a list.
const listSection = "list"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ListText is the text of one list.
type ListText struct {
	Name string
	Body []byte
}

// Parser reads lists.
type Parser struct {
	plansFile *inifile.File
	usesFile  *inifile.File
	accounts  []catalog.Account
	plans     []catalog.Plan
	routes    []catalog.Route
	versions  [2]uint64
	// accountByKey maps a key digest to the account that has it.
	accountByKey map[catalog.Digest]string
}

// Parse returns the catalog of both lists, or all findings.
func Parse(plans, uses ListText) (*catalog.Catalog, finding.Findings) {
	p := &Parser{
		plansFile:    inifile.New(plans.Name, plans.Body),
		usesFile:     inifile.New(uses.Name, uses.Body),
		accountByKey: make(map[catalog.Digest]string),
	}
	p.readUses()
	p.readPlans()
	if findings := append(p.usesFile.Findings(), p.plansFile.Findings()...); len(findings) > 0 {
		return nil, findings.Sorted()
	}
	return catalog.New(p.versions[0], p.versions[1], p.accounts, p.plans, p.routes), nil
}

// ListVersion returns the version that a list names; ok is false when it names none.
func ListVersion(t ListText) (version uint64, ok bool) {
	s := listHeader(t)
	if s == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(s.String("version", ""), 10, 64)
	return version, err == nil && version > 0
}

// PartNames returns the names of the values that hold the rest of a list; none for a list in one value.
func PartNames(t ListText) []string {
	s := listHeader(t)
	if s == nil {
		return nil
	}
	return s.Words("parts")
}

// listHeader returns the section with the version, or nil. Only that section is parsed, because a list may be long.
func listHeader(t ListText) *inifile.Section {
	title := []byte("[" + listSection + "]")
	start := bytes.Index(t.Body, title)
	if start < 0 {
		return nil
	}
	body := t.Body[start:]
	if end := bytes.Index(body, []byte("\n[")); end >= 0 {
		body = body[:end]
	}
	for _, s := range inifile.New(t.Name, body).Sections() {
		if s.Name == listSection {
			return s
		}
	}
	return nil
}

func (p *Parser) readUses() {
	for _, s := range p.usesFile.Sections() {
		switch kind, name := s.KindAndName(); kind {
		case listSection:
			p.versions[1] = readVersion(s)
		case "route":
			p.readRoute(s, name)
		case "plan":
			p.plans = append(p.plans, catalog.Plan{Name: checkName(s, name), Routes: s.Words("routes"), MaxOutputTokens: int(s.Number("output", 0, 0, maxOutputTokens))})
		default:
			s.AddFinding("", "unknown section; list, route and plan are known")
		}
	}
	p.checkRoutes()
}

func (p *Parser) readRoute(s *inifile.Section, name string) {
	r := catalog.Route{
		Name:                checkName(s, name),
		Kind:                catalog.RouteKind(s.Required("kind")),
		Target:              s.Required("target"),
		Retryable:           s.Bool("repeat", false),
		CostTokens:          s.Number("cost", 0, 0, maxCostTokens),
		ChecksFencingTokens: s.Bool("fenced", false),
	}
	switch r.Kind {
	case catalog.RouteModel, catalog.RouteService, catalog.RouteOpen, "":
	default:
		s.AddFinding("kind", strconv.Quote(string(r.Kind))+" is not model, service or open")
	}
	p.routes = append(p.routes, r)
}

// checkRoutes finds plans that name a route that is not there.
func (p *Parser) checkRoutes() {
	known := make(map[string]bool, len(p.routes))
	for _, r := range p.routes {
		known[r.Name] = true
	}
	for _, s := range p.usesFile.Sections() {
		if kind, _ := s.KindAndName(); kind != "plan" {
			continue
		}
		for _, name := range s.Words("routes") {
			if !known[name] {
				s.AddFinding("routes", "route "+strconv.Quote(name)+" is not in the list")
			}
		}
	}
}

func (p *Parser) readPlans() {
	known := make(map[string]bool, len(p.plans))
	for _, plan := range p.plans {
		known[plan.Name] = true
	}
	for _, s := range p.plansFile.Sections() {
		switch kind, name := s.KindAndName(); kind {
		case listSection:
			p.versions[0] = readVersion(s)
		case "account":
			p.readAccount(s, name, known)
		default:
			s.AddFinding("", "unknown section; list and account are known")
		}
	}
}

func (p *Parser) readAccount(s *inifile.Section, name string, knownPlans map[string]bool) {
	a := catalog.Account{
		Name:            checkName(s, name),
		Plan:            s.Required("plan"),
		TokensPerSecond: s.Number("rate", 0, math.SmallestNonzeroFloat64, maxTokensPerSecond),
		BurstTokens:     s.Number("burst", 0, 1, maxBurstTokens),
		Weight:          s.Number("weight", 1, 0.001, maxWeight),
	}
	s.Required("rate")
	s.Required("burst")
	if a.Plan != "" && !knownPlans[a.Plan] {
		s.AddFinding("plan", "plan "+strconv.Quote(a.Plan)+" is not in the uses list")
	}
	a.Keys = p.readKeys(s, a.Name)
	p.accounts = append(p.accounts, a)
}

func (p *Parser) readKeys(s *inifile.Section, account string) []catalog.Digest {
	s.Required("keys")
	var out []catalog.Digest
	for _, text := range s.Words("keys") {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(catalog.Digest{}) {
			s.AddFinding("keys", "a digest is not 64 hexadecimal digits; make it with: pistachiovane key")
			continue
		}
		d := catalog.Digest(raw)
		if owner, ok := p.accountByKey[d]; ok {
			s.AddFinding("keys", "a key is given to account "+strconv.Quote(owner)+" already")
			continue
		}
		p.accountByKey[d] = account
		out = append(out, d)
	}
	if len(out) > maxKeysPerAccount {
		s.AddFinding("keys", "more than "+strconv.Itoa(maxKeysPerAccount)+" keys")
	}
	return out
}

func readVersion(s *inifile.Section) uint64 {
	s.Words("parts")
	v, err := strconv.ParseUint(s.Required("version"), 10, 64)
	if err != nil || v == 0 {
		s.AddFinding("version", "is not a whole number above zero")
	}
	return v
}

func checkName(s *inifile.Section, name string) string {
	if !namePattern.MatchString(name) {
		s.AddFinding("", strconv.Quote(name)+" is not one word of letters, digits, dots and dashes")
	}
	return name
}
