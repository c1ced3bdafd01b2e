"""Write the first configuration of a fleet from a file, if the table has none."""

from __future__ import annotations

from pathlib import Path

from result import Err, Ok, Result

from cornelturn.fleet.configuration import (
    CONFIGURATION_KEY,
    HistoryEntry,
    encode_configuration,
    encode_history,
    history_key,
    read_configuration,
)
from cornelturn.fleet.registry import encode_instance, instance_key
from cornelturn.model.fleet import Instance
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.settings.loader import load_file
from cornelturn.store.instances import Instances, ListedInstance
from cornelturn.store.rows import ABSENT, Put, TableConflict
from cornelturn.store.table import Table

FIRST_GENERATION = 1


async def bootstrap(path: str, table: Table, platform: Instances) -> Result[bool, str]:
    """Write the configuration from a file to the table unless the table has one.

    Returns
    -------
    Result of bool, str
        Whether this call wrote it, or why the call failed.
    """
    match await read_configuration(table):
        case Err(error):
            return Err(error.detail)
        case Ok(stored) if stored.configuration.generation > 0:
            return Ok(False)
    match load_file(Path(path), ConfigurationDocument):
        case Err(problems):
            return Err("; ".join(str(problem) for problem in problems))
        case Ok(document):
            pass
    impossible = document.excessive_budgets()
    if impossible:
        return Err("; ".join(impossible))
    return await _write(document, table, platform)


async def _write(
    document: ConfigurationDocument, table: Table, platform: Instances
) -> Result[bool, str]:
    match await platform.list_all():
        case Err(error):
            return Err(error.detail)
        case Ok(listed):
            by_name = {instance.name: instance for instance in listed}
    pool_by_instance = {
        name: pool.name for pool in document.pools for name in pool.instances
    }
    missing = sorted(set(pool_by_instance) - set(by_name))
    if missing:
        return Err(f"expected in the platform's list, not found: {', '.join(missing)}")
    configuration = document.to_configuration(FIRST_GENERATION)
    history = HistoryEntry(FIRST_GENERATION, configuration.preset, "bootstrap")
    instances = [
        assigned_instance(by_name[name], pool)
        for name, pool in pool_by_instance.items()
    ]
    result = await table.commit(
        Put(CONFIGURATION_KEY, encode_configuration(configuration), ABSENT),
        Put(history_key(FIRST_GENERATION), encode_history(history)),
        *(
            Put(instance_key(instance.name), encode_instance(instance), ABSENT)
            for instance in instances
        ),
    )
    match result:
        case Ok(_):
            return Ok(True)
        case Err(TableConflict()):
            return Ok(False)
        case Err(error):
            return Err(error.detail)


def assigned_instance(listed: ListedInstance, pool: str) -> Instance:
    """Return the row of a listed instance that is assigned to a pool."""
    return Instance(
        name=listed.name,
        pool=pool,
        data_centre=listed.data_centre,
        rack=listed.rack,
        address=listed.address,
        slots=listed.slots,
        cores=listed.cores,
        memory_mb=listed.memory_mb,
    )
