"""HTTP API for operators: configuration, instances, maintenance, reports, metrics."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass

from blacksheep import Application, Content, Request, Response
from prometheus_client import generate_latest
from result import Err, Ok

from cornelturn.events.metrics import Metrics
from cornelturn.fleet.configuration import (
    ConfigurationUnavailable,
    GenerationConflict,
    ProposeResult,
)
from cornelturn.fleet.disruption import (
    Disrupted,
    DisruptionRefusal,
    DisruptionResult,
    NotDisrupted,
)
from cornelturn.fleet.operations import (
    FleetOperations,
    LatestWave,
    Rejected,
    TableUnreachable,
    WaveResult,
)
from cornelturn.fleet.waves import (
    DrainPolicy,
    WaveState,
    wave_progress,
)
from cornelturn.http.auth import TokenHolder, authenticate
from cornelturn.http.operator_views import (
    ConflictView,
    EntryView,
    InstanceView,
    PoolView,
    ProblemList,
    RequestLine,
    WaveView,
)
from cornelturn.http.problems import (
    Problem,
    bad_request,
    json_response,
    problem_response,
)
from cornelturn.http.report_responses import (
    bad_format,
    report_response,
    requested_format,
)
from cornelturn.http.routes import (
    add_health_routes,
    add_route,
    new_application,
    path_value,
    query_value,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.decoding import parse_number
from cornelturn.peering.membership import PeerView
from cornelturn.reports.catalogue import ReportName
from cornelturn.reports.source import ReportBuilder
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.settings.export import to_document
from cornelturn.settings.loader import SettingsProblem, load_text

RETRY_AFTER_MS = 1_000
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
REFUSAL_STATUS = {
    DisruptionRefusal.BUDGET: 409,
    DisruptionRefusal.UNKNOWN_INSTANCE: 404,
    DisruptionRefusal.UNKNOWN_POOL: 404,
    DisruptionRefusal.WRONG_STATE: 409,
    DisruptionRefusal.CONFLICT: 409,
    DisruptionRefusal.UNAVAILABLE: 503,
}


@dataclass(slots=True)
class OperatorsApi:
    """Handlers of the operators' listener.

    Parameters
    ----------
    list_peers : callable
        Returns the views of the other entries.
    own_view : callable
        Returns the view of this entry.
    is_ready : callable
        Returns whether the load balancer should send requests to this entry.
    """

    metrics: Metrics
    operations: FleetOperations
    reports: ReportBuilder
    operators: tuple[TokenHolder, ...]
    list_peers: Callable[[], list[PeerView]]
    own_view: Callable[[], EntryView]
    is_ready: Callable[[], bool]

    def application(self) -> Application:
        """Return the application with the routes of the listener."""
        app = new_application()
        for method, path, handler in (
            ("GET", "/configuration", self.get_configuration),
            ("PUT", "/configuration", self.put_configuration),
            ("PUT", "/preset/{name}", self.put_preset),
            ("GET", "/entries", self.get_entries),
            ("GET", "/pools", self.get_pools),
            ("GET", "/instances", self.get_instances),
            ("PUT", "/instances/{name}/{action}", self.put_instance),
            ("GET", "/requests", self.get_requests),
            ("GET", "/maintenance/{pool}", self.get_wave),
            ("PUT", "/maintenance/{pool}/{action}", self.put_wave),
            ("GET", "/reports/{name}", self.get_report),
        ):
            add_route(app, method, path, self._authenticated(handler))
        add_health_routes(app, self.is_ready)
        add_route(app, "GET", "/metrics", self.get_metrics)
        return app

    def _authenticated(
        self, handler: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            if authenticate(request, self.operators) is None:
                response = bad_request(401, "Expected the operators' bearer token")
                response.add_header(b"WWW-Authenticate", b"Bearer")
                return response
            return await handler(request)

        return handle

    # State of the process

    async def get_metrics(self, request: Request) -> Response:
        """Return the metrics in the text format of Prometheus."""
        body = generate_latest(self.metrics.registry)
        return Response(200, content=Content(b"text/plain; version=0.0.4", body))

    async def get_entries(self, request: Request) -> Response:
        """List the entries and the configuration in force at each."""
        views = [self.own_view()]
        for peer in self.list_peers():
            views.append(
                EntryView(
                    peer.address.name,
                    peer.address.incarnation,
                    peer.state.value,
                    peer.is_ready,
                    peer.generation,
                )
            )
        return json_response(200, sorted(views, key=lambda view: view.name))

    # Configuration

    async def get_configuration(self, request: Request) -> Response:
        """Return the configuration in force, with its generation as the ETag."""
        return _configuration_response(self.operations.configuration_manager.current)

    async def put_configuration(self, request: Request) -> Response:
        """Replace the configuration if its generation matches the If-Match header."""
        expected = _expected_generation(request)
        if expected is None:
            return bad_request(428, "Expected If-Match with the generation seen")
        body = await request.read() or b""
        if len(body) > MAX_DOCUMENT_BYTES:
            return bad_request(413, "Document too large")
        text = body.decode("utf-8", "replace")
        match load_text(text, ConfigurationDocument):
            case Err(problems):
                return _problems_response(problems)
            case Ok(document):
                pass
        result = await self.operations.replace_configuration(document, expected)
        return _propose_response(result)

    async def put_preset(self, request: Request) -> Response:
        """Put a preset in force, only at the generation of If-Match if that is sent."""
        name = path_value(request, "name")
        expected = _expected_generation(request)
        return _propose_response(await self.operations.switch_preset(name, expected))

    # Pools and instances

    async def get_pools(self, request: Request) -> Response:
        """List the pools."""
        configuration = self.operations.configuration_manager.current
        views: list[PoolView] = []
        for pool in configuration.pools:
            budget = self.operations.pool_budget(pool.name)
            views.append(
                PoolView(
                    pool.name,
                    budget.total,
                    budget.total - budget.unavailable(),
                    pool.max_unavailable,
                    budget.unavailable(),
                    tuple(queue.name for queue in configuration.queues_of(pool.name)),
                )
            )
        return json_response(200, views)

    async def get_instances(self, request: Request) -> Response:
        """List the instances, or those of one pool if the query names it."""
        pool = query_value(request, "pool")
        registry = self.operations.registry
        view = registry.view()
        views = [
            InstanceView(
                instance.name,
                instance.pool,
                instance.data_centre,
                instance.rack,
                instance.state.value,
                instance.reason,
                instance.move_to,
                instance.name in view.leaving,
                registry.is_up(instance.name),
                instance.slots,
            )
            for instance in sorted(
                view.instances, key=lambda instance: (instance.pool, instance.name)
            )
            if not pool or instance.pool == pool
        ]
        return json_response(200, views)

    async def put_instance(self, request: Request) -> Response:
        """Assign, drain, resume or move an instance."""
        name = path_value(request, "name")
        pool = query_value(request, "pool")
        match path_value(request, "action"):
            case "assign":
                result = await self.operations.assign(name, pool)
            case "drain":
                result = await self.operations.drain(name)
            case "resume":
                result = await self.operations.resume(name)
            case "move":
                result = await self.operations.move(name, pool)
            case other:
                return bad_request(404, "No such action", other)
        return _disruption_response(result)

    # Requests

    async def get_requests(self, request: Request) -> Response:
        """List the recorded requests, or those in one state if the query names it."""
        state = query_value(request, "state")
        records = await self.reports.read_records(state)
        if records is None:
            return _table_unavailable("the requests cannot be read")
        lines = [
            RequestLine(
                record.request,
                record.member,
                record.queue,
                record.state.value,
                record.target,
                record.reason,
                record.detail,
            )
            for record in records
        ]
        return json_response(200, lines)

    # Maintenance

    async def get_wave(self, request: Request) -> Response:
        """Return the progress of the latest maintenance wave of a pool."""
        result = await self.operations.latest_wave(path_value(request, "pool"))
        return self._wave_response(result)

    async def put_wave(self, request: Request) -> Response:
        """Start, pause, resume or cancel a maintenance wave of a pool."""
        pool = path_value(request, "pool")
        match path_value(request, "action"):
            case "start":
                policy = query_value(request, "policy", DrainPolicy.WAIT.value)
                if policy not in list(DrainPolicy):
                    return bad_request(400, "Bad policy", policy)
                result = await self.operations.start_wave(pool, DrainPolicy(policy))
            case "pause":
                result = await self.operations.change_wave(pool, WaveState.PAUSED)
            case "resume":
                result = await self.operations.change_wave(pool, WaveState.RUNNING)
            case "cancel":
                result = await self.operations.change_wave(pool, WaveState.CANCELLED)
            case other:
                return bad_request(404, "No such action", other)
        return self._wave_response(result)

    def _wave_response(self, result: WaveResult) -> Response:
        match result:
            case LatestWave(wave):
                instances = list(self.operations.registry.instances.values())
                progress = wave_progress(wave, instances)
                view = WaveView(
                    wave.pool,
                    wave.number,
                    wave.state.value,
                    wave.policy.value,
                    **asdict(progress),
                    elapsed_ms=wave.elapsed_ms,
                    note=wave.note,
                )
                return json_response(200, view)
            case Rejected(problems):
                return json_response(409, ProblemList("Rejected", 409, problems))
            case TableUnreachable(detail):
                return _table_unavailable(detail)

    # Reports

    async def get_report(self, request: Request) -> Response:
        """Return a report as text, JSON or CSV."""
        name = path_value(request, "name")
        report_format = requested_format(request)
        if name not in list(ReportName):
            return bad_request(404, "No such report", ", ".join(ReportName))
        if report_format is None:
            return bad_format()
        member = query_value(request, "member")
        report = await self.reports.build(ReportName(name), member)
        if report is None:
            return _table_unavailable("the report cannot be made")
        return report_response(report, report_format)


def _expected_generation(request: Request) -> int | None:
    value = request.get_first_header(b"if-match")
    text = value.decode("latin-1").strip().strip('"') if value is not None else ""
    return parse_number(text)


def _configuration_response(configuration: Configuration) -> Response:
    etag = f'"{configuration.generation}"'.encode()
    if configuration.generation == 0:
        return bad_request(404, "No configuration yet")
    document = to_document(configuration).model_dump(mode="json")
    return json_response(200, document, [(b"ETag", etag)])


def _propose_response(result: ProposeResult | Rejected | TableUnreachable) -> Response:
    match result:
        case Ok(configuration):
            return _configuration_response(configuration)
        case Err(GenerationConflict(expected, current)):
            view = ConflictView(
                "Another change came first",
                412,
                expected,
                current.generation,
                current.preset,
            )
            return json_response(412, view)
        case Err(ConfigurationUnavailable(detail)) | TableUnreachable(detail):
            return _table_unavailable(detail)
        case Rejected(problems):
            return json_response(422, ProblemList("Rejected", 422, problems))


def _problems_response(problems: tuple[SettingsProblem, ...]) -> Response:
    texts = tuple(str(problem) for problem in problems)
    return json_response(422, ProblemList("Invalid configuration", 422, texts))


def _disruption_response(result: DisruptionResult) -> Response:
    match result:
        case Disrupted(instance):
            view = {
                "name": instance.name,
                "pool": instance.pool,
                "state": instance.state.value,
            }
            return json_response(200, view)
        case NotDisrupted(reason, detail):
            problem = Problem(
                f"urn:cornelturn:disruption:{reason.value}",
                "Nothing was changed",
                REFUSAL_STATUS[reason],
                detail,
                reason=reason.value,
            )
            return problem_response(problem)


def _table_unavailable(detail: str) -> Response:
    problem = Problem(
        "urn:cornelturn:table-unavailable",
        "The table service did not answer; read again before repeating",
        503,
        detail,
    )
    return problem_response(problem, RETRY_AFTER_MS)
