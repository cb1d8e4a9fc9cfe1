// Package parser reads the two lists of a configuration: the plans list, which holds the client accounts and the name
// of each account's plan, and the uses list, which holds the plans and the routes that each plan may use. Both are
// checked completely before any part of them is accepted.
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
	// maxTokensPerSecond and maxBurstTokens are the largest rate and burst limits of an account.
	maxTokensPerSecond = 1e9
	maxBurstTokens     = 1e10
	// maxWeight is the largest weight of an account in fair queues.
	maxWeight = 1000
	// maxOutputTokens is the largest bound on max_tokens that a plan may set.
	maxOutputTokens = 100000
	// maxCostTokens is the largest charge for one call.
	maxCostTokens = 1e6
	// maxKeysPerAccount is the largest number of API keys of an account.
	maxKeysPerAccount = 16
)

// listSection is the section that holds the version of a list and, for a list that is stored in several values, the
// names of the other values.
const listSection = "list"

// namePattern matches the names of accounts, plans and routes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ListText is the text of one list. The name identifies the list in findings.
type ListText struct {
	Name string
	Body []byte
}

// Parser holds what has been read of the two lists.
type Parser struct {
	plansFile *inifile.File
	usesFile  *inifile.File
	accounts  []catalog.Account
	plans     []catalog.Plan
	routes    []catalog.Route
	// versions holds the version of the plans list and that of the uses list.
	versions [2]uint64
	// accountByKey holds the name of the account that owns a key, by the key's digest.
	accountByKey map[catalog.Digest]string
}

// Parse returns the catalog made from both lists. If there is any finding, it returns all findings and no catalog.
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

// ListVersion returns the version of a list. ok is false when the list has no valid version.
func ListVersion(t ListText) (version uint64, ok bool) {
	s := listHeader(t)
	if s == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(s.String("version", ""), 10, 64)
	return version, err == nil && version > 0
}

// PartNames returns the names of the stored values that hold the other parts of a list. It returns none for a list that
// is stored in one value.
func PartNames(t ListText) []string {
	s := listHeader(t)
	if s == nil {
		return nil
	}
	return s.Words("parts")
}

// listHeader returns the listSection of a list, or nil if there is none. It parses only that section, because a list
// may be long.
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

// readUses reads the plans and routes of the uses list.
func (p *Parser) readUses() {
	for _, s := range p.usesFile.Sections() {
		switch kind, name := s.KindAndName(); kind {
		case listSection:
			p.versions[1] = readVersion(s)
		case "route":
			p.readRoute(s, name)
		case "plan":
			p.plans = append(p.plans, catalog.Plan{
				Name: checkName(s, name), Routes: s.Words("routes"),
				MaxOutputTokens: int(s.Number("output", 0, 0, maxOutputTokens)),
			})
		default:
			s.AddFinding("", "unknown section; list, route and plan are known")
		}
	}
	p.checkRoutes()
}

// readRoute reads a route. It adds a finding for each value that is missing or not valid.
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

// checkRoutes adds a finding for each route that a plan names and the uses list does not contain.
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

// readPlans reads the accounts of the plans list. It must be called after readUses, which reads the plans that the
// accounts name.
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

// readAccount reads an account. knownPlans holds the names of the plans in the uses list.
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

// readKeys reads the key digests of an account. It leaves out each digest that is not valid or already belongs to an
// account, and adds a finding for it. It also adds a finding for more than maxKeysPerAccount digests.
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

// readVersion reads the version of a list. It also reads the names of the parts, so that the key "parts" is not
// reported as unknown.
func readVersion(s *inifile.Section) uint64 {
	s.Words("parts")
	v, err := strconv.ParseUint(s.Required("version"), 10, 64)
	if err != nil || v == 0 {
		s.AddFinding("version", "is not a whole number above zero")
	}
	return v
}

// checkName returns the name, and adds a finding if it does not match namePattern.
func checkName(s *inifile.Section, name string) string {
	if !namePattern.MatchString(name) {
		s.AddFinding("", strconv.Quote(name)+" is not one word of letters, digits, dots and dashes")
	}
	return name
}
