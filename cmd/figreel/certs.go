package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/certs"
)

const (
	day                     = 24 * time.Hour
	defaultDays             = 365
	certDirMode os.FileMode = 0o700
)

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "write certificates for the connections between hosts, for tests",
		Description: "Writes ca.pem, and NAME.pem and NAME.key for each host, for fellows.tls in the settings.\n" +
			"The private key of the CA is not kept: to add a host, write all files again into another\n" +
			"directory and restart all hosts. Production should use certificates of its own CA,\n" +
			"with the host's name as the common name, valid for client and server authentication.\n\n" +
			"  figreel certs --dir certs --hosts host-1,host-2,host-3 --ip 127.0.0.1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`DIR` to write to; created if it does not exist", Required: true},
			&cli.StringSliceFlag{Name: "hosts", Usage: "`NAMES` of the hosts, separated by commas", Required: true},
			&cli.StringSliceFlag{Name: "ip", Usage: "`ADDRESSES` for which every certificate is valid as well"},
			&cli.IntFlag{Name: "days", Usage: "validity in days", Value: defaultDays},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeCerts(cmd.String("dir"), cmd.StringSlice("hosts"), cmd.StringSlice("ip"), cmd.Int("days"))
		},
	}
}

func writeCerts(dir string, hosts, ips []string, days int) error {
	addrs := make([]net.IP, 0, len(ips))
	for _, s := range ips {
		ip := net.ParseIP(s)
		if ip == nil {
			return errors.Errorf("%q is not an IP address", s)
		}
		addrs = append(addrs, ip)
	}
	if err := checkHostNames(hosts); err != nil {
		return err
	}
	if days < 1 {
		return errors.Errorf("validity of %d days is not positive", days)
	}
	if err := os.MkdirAll(dir, certDirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	// Hosts with certificates of the old and of the new CA would reject each other.
	if _, err := os.Stat(filepath.Join(dir, "ca.pem")); err == nil {
		return errors.Errorf("%s already holds certificates: choose another directory", dir)
	}
	authority, err := certs.NewAuthority(time.Duration(days) * day)
	if err != nil {
		return err
	}
	if err := authority.WriteFiles(dir, hosts, addrs...); err != nil {
		return err
	}
	fmt.Printf("wrote ca.pem and certificates of %d hosts to %s\n", len(hosts), dir)
	return nil
}

// checkHostNames rejects names that would not give each host files of its own in the directory.
func checkHostNames(hosts []string) error {
	seen := map[string]bool{"ca": true}
	for _, name := range hosts {
		if name == "" || strings.ContainsAny(name, `/\`) || seen[name] {
			return errors.Errorf("host %q: a name must not be empty, a path, \"ca\" or a duplicate", name)
		}
		seen[name] = true
	}
	return nil
}
