"""Converts a configuration back to the document that operators write."""

from __future__ import annotations

from cornelturn.model.configuration import Configuration
from cornelturn.settings.documents import (
    ConfigurationDocument,
    PoolDocument,
    PoolSizeDocument,
    PresetDocument,
    QueueDocument,
    QueueShareDocument,
    WorkClassName,
)


def to_document(configuration: Configuration) -> ConfigurationDocument:
    """Return the document of a configuration, without the initial instances."""
    return ConfigurationDocument(
        preset=configuration.preset,
        pools=tuple(
            PoolDocument(name=pool.name, max_unavailable=pool.max_unavailable)
            for pool in configuration.pools
        ),
        queues=tuple(
            QueueDocument(
                name=queue.name,
                pool=queue.pool,
                work_class=WorkClassName[queue.work_class.name],
                idempotent=queue.idempotent,
                share=queue.share,
                deadline_ms=queue.deadline_ms,
                run_ms=queue.run_ms,
                overflow=queue.overflow,
            )
            for queue in configuration.queues
        ),
        presets=tuple(
            PresetDocument(
                name=preset.name,
                sizes=tuple(
                    PoolSizeDocument(pool=size.pool, instances=size.instances)
                    for size in preset.sizes
                ),
                shares=tuple(
                    QueueShareDocument(queue=share.queue, share=share.share)
                    for share in preset.shares
                ),
                maintenance=preset.maintenance,
            )
            for preset in configuration.presets
        ),
    )
