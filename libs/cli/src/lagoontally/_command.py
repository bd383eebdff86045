"""Commands whose help ends with examples."""

from collections.abc import Iterable

import click


class WithExamples:
    """Mixin that adds a section of examples to a command's help."""

    def __init__(self, *args, examples: Iterable[str] = (), **kwargs):
        super().__init__(*args, **kwargs)
        self.examples = tuple(examples)

    def format_epilog(self, ctx, formatter):
        """Write one example per line; click would wrap them into a paragraph."""
        super().format_epilog(ctx, formatter)
        with formatter.section("Examples"):
            for example in self.examples:
                formatter.write(f"{'':>{formatter.current_indent}}{example}\n")


class Command(WithExamples, click.Command):
    """A command with examples."""


class Group(WithExamples, click.Group):
    """A group of commands with examples."""
