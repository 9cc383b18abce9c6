"""How many processes of this router run, as during an upgrade.

A process leaves a file with its process id in the folder that they share, and removes it at its end. A file
whose process has ended counts for nothing.
"""

import contextlib
import os


class UpgradePeers:
    """The processes of one router, by its `identity`; without a `folder` there is one."""

    def __init__(self, folder: str | None, identity: str) -> None:
        self.folder = folder
        self.prefix = f"rainhitch-{identity}.process."
        self.own_path = None if folder is None else os.path.join(folder, f"{self.prefix}{os.getpid()}")
        self.others: set[int] = set()  # process ids of the others

    @property
    def count(self) -> int:
        """How many processes ran at the last count, this one included."""
        return 1 + len(self.others)

    def register(self) -> None:
        """Makes this process known, and counts."""
        if self.own_path is not None:
            with contextlib.suppress(OSError), open(self.own_path, "wb"):
                pass
        self.recount()

    def recount(self) -> int:
        """How many processes run now, this one included."""
        numbers: list[str] = []
        if self.folder is not None:
            with contextlib.suppress(OSError):
                names = [name for name in os.listdir(self.folder) if name.startswith(self.prefix)]
                numbers = [name.removeprefix(self.prefix) for name in names]
        self.others = {int(number) for number in numbers if _is_other_process(number)}
        return self.count

    def unregister(self) -> None:
        """Removes what makes this process known."""
        if self.own_path is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.own_path)


def _is_other_process(number: str) -> bool:
    """Whether another process of this number runs."""
    if not number.isdigit() or int(number) == os.getpid():
        return False
    try:
        os.kill(int(number), 0)
    except ProcessLookupError:
        return False
    except OSError:
        return True  # it runs, and may not be signalled
    return True
