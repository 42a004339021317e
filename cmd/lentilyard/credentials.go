package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lentilyard/lentilyard/internal/credentials"
)

func addCredentials(app *kingpin.Application) {
	parent := app.Command("keys", "Create and renew keys and tokens.")
	addKeysAuthority(parent)
	addKeysIssue(parent)
	addKeysRenew(parent)
	parent.Command("token", "Print a new bearer token and its digest for the settings.").Action(func(*kingpin.ParseContext) error {
		token, digest := credentials.NewToken()
		fmt.Printf("token: %s\nsha256: %s\n", token, digest)
		return nil
	})
}

// File names of the certificate and the key of the certificate authority.
const (
	authorityCertFile = "ca.pem"
	authorityKeyFile  = "ca.key"
)

func addKeysAuthority(parent *kingpin.CmdClause) {
	command := parent.Command("ca", "Create a certificate authority. Copy ca.pem to every entry VM; keep ca.key off all of them.")
	folder := command.Arg("folder", "Folder for the files.").Required().ExistingDir()
	command.Action(func(*kingpin.ParseContext) error {
		authority, err := credentials.NewAuthority("lentilyard", credentials.AuthorityValidity, time.Now())
		if err != nil {
			return err
		}
		return authority.Save(filepath.Join(*folder, authorityCertFile), filepath.Join(*folder, authorityKeyFile))
	})
}

func loadAuthority(folder string) (*credentials.Authority, error) {
	return credentials.LoadAuthority(filepath.Join(folder, authorityCertFile), filepath.Join(folder, authorityKeyFile))
}

func addKeysIssue(parent *kingpin.CmdClause) {
	command := parent.Command("vm", "Create the certificate and the key of an entry VM: ID.pem and ID.key.")
	folder := command.Arg("folder", "Folder of the certificate authority.").Required().ExistingDir()
	id := command.Arg("id", "Id of the entry VM.").Required().String()
	validity := command.Flag("validity", "Validity.").Default(credentials.CertificateValidity.String()).Duration()
	command.Action(func(*kingpin.ParseContext) error {
		authority, err := loadAuthority(*folder)
		if err != nil {
			return err
		}
		certificate, key, err := authority.Issue(*id, *validity, time.Now())
		if err != nil {
			return err
		}
		certFile, keyFile := certificateFiles(*folder, *id)
		return credentials.WritePair(certFile, certificate, keyFile, key)
	})
}

func addKeysRenew(parent *kingpin.CmdClause) {
	command := parent.Command("renew", "Replace the certificate and the key of an entry VM. Running processes load the new files.")
	folder := command.Arg("folder", "Folder of the certificate authority.").Required().ExistingDir()
	id := command.Arg("id", "Id of the entry VM.").Required().String()
	validity := command.Flag("validity", "Validity.").Default(credentials.CertificateValidity.String()).Duration()
	command.Action(func(*kingpin.ParseContext) error {
		authority, err := loadAuthority(*folder)
		if err != nil {
			return err
		}
		certFile, keyFile := certificateFiles(*folder, *id)
		return authority.Renew(certFile, keyFile, *validity, time.Now())
	})
}

// certificateFiles returns the paths of the certificate and the key of an entry VM.
func certificateFiles(folder, id string) (certFile, keyFile string) {
	return filepath.Join(folder, id+".pem"), filepath.Join(folder, id+".key")
}
