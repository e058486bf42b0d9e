"""The command that makes the fleet's key pair."""

import dataclasses

import cappa
import zmq

from oleanderstair.ui import output


def make_keys(command: 'KeysMake') -> None:
    """Print a new key pair for the settings of all instances."""
    public, secret = zmq.curve_keypair()
    pair = {'public_key': public.decode(), 'secret_key': secret.decode()}
    output.show([pair], as_json=command.json)


@cappa.command(name='make', invoke=make_keys)
@dataclasses.dataclass
class KeysMake:
    """Make a CURVE key pair for `peers` in the settings."""

    json: output.AsJson = False


@cappa.command(name='keys')
@dataclasses.dataclass
class Keys:
    """Work with the fleet's key pair."""

    command: cappa.Subcommands[KeysMake]
