"""Makes a join conditional on the state of the target that it was decided on."""

from __future__ import annotations

import msgspec

from galenavane.control import group_command
from galenavane.fleet import group_index, target_report


def confirm(
    join: group_command.Join, report: target_report.TargetReport
) -> group_command.Join | None:
    """Return the join with the command count of the state that it was decided on.

    The target refuses it once any other command has been carried out, however late it arrives.

    :returns: ``None`` if the report shows another state than the one that was listed.
    """
    reported = report.target
    is_same = reported.incarnation == join.target.incarnation and group_index.find_key(
        reported
    ) == group_index.find_key(join.target)
    if not is_same or report.command_count is None:
        return None
    return msgspec.structs.replace(join, expected_count=report.command_count)
