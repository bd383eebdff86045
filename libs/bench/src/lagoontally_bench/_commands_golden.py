"""The command that prints the golden sessions or rewrites their files."""

import click

from ._golden import SESSIONS, golden_path


@click.command("golden")
@click.option("--write", is_flag=True, help="Rewrite the golden files.")
@click.option("--only", default="", help="Run only the session of this name.")
def golden_command(write, only):
    """Run the golden sessions and print them, or rewrite their files."""
    for name, session in SESSIONS.items():
        if only not in ("", name):
            continue
        text = session()
        if write:
            path = golden_path(name)
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
            click.echo(f"{path.name}: {text.count(chr(10))} lines")
        else:
            click.echo(text)


if __name__ == "__main__":
    golden_command()
