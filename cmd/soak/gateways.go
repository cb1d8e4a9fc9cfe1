package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/launcher"
	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
	"github.com/pistachiovane/pistachiovane/platform"
)

// gateway is a gateway process and the proxy between it and the store.
type gateway struct {
	name string
	// address is the loopback IP address of the gateway's listeners.
	address    string
	process    *launcher.Launcher
	storeProxy *proxier.Proxier
	// ready is the result of the latest readiness check.
	ready bool
}

// gatewayAddress returns the loopback IP address of a gateway. It is different for each slot and, because it
// depends on the process ID, usually also for soaks that run at the same time on one machine.
func gatewayAddress(slot, gateway int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+slot, os.Getpid()%250, gateway+1)
}

// addGateway starts gateway number i with its own proxy to the store.
func (b *testbed) addGateway(program string, slot, i int) error {
	ip := gatewayAddress(slot, i)
	name := fmt.Sprintf("g%d", i)
	storeProxy, err := proxier.New(b.store.Address())
	if err != nil {
		return err
	}
	settings, err := b.writeSettings(name, ip, string(rune('a'+i%3)), storeProxy.Address(), slot)
	if err != nil {
		return err
	}
	process := launcher.New(launcher.Program{
		Path: program, Arguments: []string{"edge"}, Environment: []string{platform.SettingsEnvVar + "=" + settings},
		LogPath: filepath.Join(b.dir, name+".log"),
	})
	b.gateways = append(b.gateways, &gateway{name: name, address: ip, process: process, storeProxy: storeProxy})
	return process.Start()
}

// runProbe checks the readiness of the gateways, like the platform's load balancer, with pauses of readinessInterval
// until stop is closed.
func (b *testbed) runProbe(stop <-chan struct{}) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, g := range b.gateways {
			r, err := client.Get("http://" + g.address + ":8365/v1/readyz") //nolint:noctx // the client has a timeout
			ready := err == nil && r.StatusCode == http.StatusOK
			if err == nil {
				_ = r.Body.Close()
			}
			b.mu.Lock()
			g.ready = ready
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// pickGateway returns a random ready gateway, or any random gateway when none is ready.
func (b *testbed) pickGateway(rng *rand.Rand) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*gateway
	for _, g := range b.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = b.gateways
	}
	return ready[rng.IntN(len(ready))]
}
