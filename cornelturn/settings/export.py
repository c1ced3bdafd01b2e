"""Turning a configuration back into the document that operators write."""

from __future__ import annotations

from cornelturn.model.configuration import Configuration
from cornelturn.settings.documents import (
    ClassName,
    ConfigurationDocument,
    PoolDocument,
    PoolSizeDocument,
    PresetDocument,
    QueueDocument,
    QueueShareDocument,
)


def to_document(configuration: Configuration) -> ConfigurationDocument:
    """Return the document of a configuration, without instance lists."""
    return ConfigurationDocument(
        preset=configuration.preset,
        pools=tuple(
            PoolDocument(name=one.name, max_unavailable=one.max_unavailable)
            for one in configuration.pools
        ),
        queues=tuple(
            QueueDocument(
                name=one.name,
                pool=one.pool,
                work_class=ClassName[one.work_class.name],
                idempotent=one.idempotent,
                share=one.share,
                deadline_ms=one.deadline_ms,
                run_ms=one.run_ms,
                overflow=one.overflow,
            )
            for one in configuration.queues
        ),
        presets=tuple(
            PresetDocument(
                name=one.name,
                sizes=tuple(
                    PoolSizeDocument(pool=size.pool, instances=size.instances)
                    for size in one.sizes
                ),
                shares=tuple(
                    QueueShareDocument(queue=share.queue, share=share.share)
                    for share in one.shares
                ),
                maintenance=one.maintenance,
            )
            for one in configuration.presets
        ),
    )
