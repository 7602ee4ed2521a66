"""How a broken variant is made: a piece of a function's source is replaced, at run time only."""

from __future__ import annotations

import contextlib
import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import NamedTuple
from unittest import mock


class Mutant(NamedTuple):
    """`breaks`: a property; `seen_in`: a configuration."""

    name: str
    breaks: str
    seen_in: str
    patch: Callable[[], AbstractContextManager[None]]


def lines(*changes: tuple[object, str, str]) -> Callable[[], AbstractContextManager[None]]:
    """Functions and methods with a piece of their source replaced: (function, old, new)."""

    @contextlib.contextmanager
    def patch() -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            for function, old, new in changes:
                stack.enter_context(_changed(function, old, new))
            yield

    return patch


def _changed(function: Callable, old: str, new: str) -> AbstractContextManager:
    source, module = textwrap.dedent(inspect.getsource(function)), inspect.getmodule(function)
    if source.count(old) != 1:
        # Danger: a variant that changes nothing would be taken for one that nothing catches.
        raise ValueError(f"{function.__qualname__} has {old!r} {source.count(old)} times")
    made: dict[str, object] = {}
    owner = module
    for name in function.__qualname__.split(".")[:-1]:
        owner = getattr(owner, name)
    source, name = source.replace(old, new), function.__name__
    if "super()" in source:
        # It looks for its class in the function around it.
        source = f"def made(__class__):\n{textwrap.indent(source, '    ')}\n    return {name}\n"
    # In the module's own names, so that it calls what the others call; behind its lines, as copies of a state
    # know functions by module and line.
    exec(compile("\n" * 10_000 + source, inspect.getfile(function), "exec"), vars(module), made)  # noqa: S102
    return mock.patch.object(owner, name, made[name] if name in made else made["made"](owner))
