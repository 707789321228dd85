"""Stand-in of the platform's services, in one process."""

from __future__ import annotations

import argparse
import asyncio

from tamarack_standins.faults import Faults
from tamarack_standins.instance_list import InstanceList
from tamarack_standins.object_store import ObjectStore
from tamarack_standins.server import make_app, serve
from tamarack_standins.table_service import TableService
from tamarack_standins.weight_store import WeightStore


async def _serve(listen: str, instance_lag_ms: float, weight_load_ms: float) -> None:
    app = make_app(Faults())
    TableService().add_routes(app)
    ObjectStore().add_routes(app)
    InstanceList(instance_lag_ms).add_routes(app)
    WeightStore(weight_load_ms).add_routes(app)
    await serve(app, listen)


def main() -> None:
    """Run the platform's stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--instance-lag-ms", type=float, default=500.0)
    parser.add_argument("--weight-load-ms", type=float, default=400.0)
    args = parser.parse_args()
    asyncio.run(_serve(args.listen, args.instance_lag_ms, args.weight_load_ms))


if __name__ == "__main__":
    main()
