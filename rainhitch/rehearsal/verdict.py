"""What a report stands for: the exit codes of `rainhitch rehearse`."""

HELD = 0  # all rules and expectations
BROKEN = 1  # a rule or an expectation
BAD_INPUT = 2
VOID = 3  # the kit itself ran late
