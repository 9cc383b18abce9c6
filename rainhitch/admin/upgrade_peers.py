"""Two processes of one router, as during an upgrade: each knows that the other lives.

A process leaves a file with its number in the folder that they share, and takes it away at its end. One
whose process has ended without that counts for nothing.
"""

import contextlib
import os


class UpgradePeers:
    """How many processes of this router there are; `folder` None: one."""

    def __init__(self, folder: str | None, identity: str) -> None:
        self.folder, self.prefix = folder, f"rainhitch-{identity}.process."
        self.mine = None if folder is None else os.path.join(folder, f"{self.prefix}{os.getpid()}")
        self.count = 1

    def enter(self) -> None:
        """Makes this process known, and counts."""
        if self.mine is not None:
            with contextlib.suppress(OSError):
                open(self.mine, "wb").close()
        self.look()

    def look(self) -> int:
        """Counts anew."""
        others = 0
        if self.folder is not None:
            with contextlib.suppress(OSError):
                names = [name for name in os.listdir(self.folder) if name.startswith(self.prefix)]
                others = sum(_lives(name.removeprefix(self.prefix)) for name in names)
        self.count = 1 + others
        return self.count

    def leave(self) -> None:
        if self.mine is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.mine)


def _lives(number: str) -> bool:
    if not number.isdigit() or int(number) == os.getpid():
        return False
    try:
        os.kill(int(number), 0)
    except ProcessLookupError:
        return False
    except OSError:
        return True
    return True
