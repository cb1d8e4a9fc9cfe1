package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/finding"
	"github.com/pistachiovane/pistachiovane/pkg/parser"
	"github.com/pistachiovane/pistachiovane/pkg/settings"
)

const (
	dumpTimeout = 5 * time.Second
	// keyBytes is the number of random bytes in a generated API key.
	keyBytes = 24
)

// checkCommand checks settings files and the two lists of a configuration, plans and uses.
type checkCommand struct {
	Settings []string `arg:"--settings,separate" help:"settings file; may be given more than once"`
	Plans    string   `arg:"--plans" help:"customers' plans"`
	Uses     string   `arg:"--uses" help:"what each plan may use"`
}

// run prints the findings, one on each line, ordered by file and line. It fails when there is any finding.
func (c *checkCommand) run(_ context.Context, o output) error {
	var all finding.Findings
	for _, path := range c.Settings {
		body, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read settings")
		}
		_, findings := settings.Parse(path, body)
		all = append(all, findings...)
	}
	if (c.Plans == "") != (c.Uses == "") {
		return errors.New("--plans and --uses go together")
	}
	if c.Plans != "" {
		findings, err := checkLists(c.Plans, c.Uses)
		if err != nil {
			return err
		}
		all = append(all, findings...)
	}
	for _, f := range all.Sorted() {
		_, _ = fmt.Fprintln(o.stdout, f)
	}
	if len(all) > 0 {
		return errors.Errorf("%d findings", len(all))
	}
	_, _ = fmt.Fprintln(o.stdout, "no findings")
	return nil
}

// checkLists returns the findings of a plans list and a uses list. It fails when a file can't be read.
func checkLists(plans, uses string) (finding.Findings, error) {
	plansBody, err := os.ReadFile(plans)
	if err != nil {
		return nil, errors.Wrap(err, "read plans")
	}
	usesBody, err := os.ReadFile(uses)
	if err != nil {
		return nil, errors.Wrap(err, "read uses")
	}
	_, findings := parser.Parse(parser.ListText{Name: plans, Body: plansBody}, parser.ListText{Name: uses, Body: usesBody})
	return findings, nil
}

// dumpCommand prints the state of a running process.
type dumpCommand struct {
	Address string `arg:"positional,required" help:"operator address of the process, as ip:port"`
}

// run requests the state, which is JSON, from the process's operator port and prints it. It fails after dumpTimeout.
func (c *dumpCommand) run(ctx context.Context, o output) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+"/dump", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create dump request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(o.stdout, resp.Body)
	return errors.Wrap(err, "print state")
}

// keyCommand generates an API key, or computes the digest of an existing one.
type keyCommand struct {
	Digest bool `arg:"--digest" help:"read a key from standard input and print only its digest"`
}

// run prints a random key and its digest. With --digest it reads a key from standard input and prints only its digest.
func (c *keyCommand) run(_ context.Context, o output) error {
	if c.Digest {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, 1<<10))
		if err != nil {
			return errors.Wrap(err, "read key")
		}
		printDigest(o, strings.TrimSpace(string(text)))
		return nil
	}
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Wrap(err, "generate key")
	}
	key := "pv-" + hex.EncodeToString(raw)
	_, _ = fmt.Fprintln(o.stdout, "key   ", key)
	_, _ = fmt.Fprint(o.stdout, "digest ")
	printDigest(o, key)
	return nil
}

// printDigest prints the digest of a key as hexadecimal digits, the form that the plans list requires.
func printDigest(o output, key string) {
	d := catalog.DigestOf(key)
	_, _ = fmt.Fprintln(o.stdout, hex.EncodeToString(d[:]))
}
