import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'earl';
import {errAsync, okAsync} from 'neverthrow';
import {failure} from '../common/errors/failure.ts';
import {FakeGateway} from '../node/api/fake-gateway.test.ts';
import {OperatorDirectory} from '../node/api/operator-directory.ts';
import {problem, problemResponse} from '../node/api/problems.ts';
import {ResourceApi} from '../node/api/resource-api.ts';
import {Logging} from '../node/logging/logging.ts';
import {noMetrics} from '../node/metrics/no-metrics.ts';
import {allCommands, runCommandLine} from './run.ts';
import {type SendHttpRequest, type Terminal} from './types.ts';
import {version} from './version.ts';

const services = `
[[service]]
name = "ordering"
claimsIdempotencyKeys = true

[[backend-server]]
name = "ordering-1"
service = "ordering"
address = "10.0.1.1"
port = 9000
dataCentre = "gdansk-1"
`;

/** Runs commands against two VM addresses that are served by one resource API in memory, and records the output. */
class User {
	readonly gateway = new FakeGateway();
	readonly files = new Map<string, string>([['services.toml', services]]);
	readonly environment: Record<string, string | undefined> = {
		JAYDALE_SERVER: 'http://vm-1,http://vm-2',
		JAYDALE_TOKEN: 'write-token-of-hanna-123',
	};

	/** Server addresses that have no configuration yet, that refuse connections, and that process requests without a response. */
	readonly starting = new Set<string>();
	readonly refusing = new Set<string>();
	readonly silent = new Set<string>();
	private readonly _lines: string[] = [];
	private readonly _api: ResourceApi;
	private _operations = 0;
	private _now = 0;

	constructor() {
		this._api = new ResourceApi({
			gateway: this.gateway,
			directory: new OperatorDirectory([
				{name: 'hanna', role: 'write', token: 'write-token-of-hanna-123'},
				{name: 'jan', role: 'read', token: 'read-token-of-jan-123456'},
			]),
			logger: new Logging({level: 'error', format: 'json'}, {}, () => undefined).logger,
			metrics: noMetrics,
			bodyBytes: 1_000_000,
		});
	}

	/** All output so far; `! ` marks standard error. */
	get transcript(): readonly string[] {
		return this._lines;
	}

	async run(...argv: string[]): Promise<void> {
		this._lines.push(`$ jaydale ${argv.join(' ')}`);
		const code = await runCommandLine(argv, version, this._terminal(), async () => 0);
		this._lines.push(`exit ${code}`);
	}

	private _terminal(): Terminal {
		return {
			print: line => {
				this._lines.push(...line.split('\n'));
			},
			printError: line => {
				this._lines.push(`! ${line}`);
			},
			environment: this.environment,
			readText: path => this.files.has(path) ? okAsync(this.files.get(path)!) : errAsync(failure('unreadable-file', 'the file cannot be read')),
			sendHttpRequest: this._sendRequest,
			sleep: async milliseconds => {
				this._now += milliseconds;
			},
			now: () => this._now,
			signal: new AbortController().signal,
			newOperationId: () => {
				this._operations++;
				return `operation-${this._operations}`;
			},
		};
	}

	private readonly _sendRequest: SendHttpRequest = async (url, request) => {
		const {origin} = new URL(url);
		if (this.refusing.has(origin)) {
			throw new TypeError('fetch failed', {cause: Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'})});
		}

		if (this.starting.has(origin)) {
			return problemResponse(problem('not-ready', 'no configuration yet'));
		}

		const response = await this._api.handle(new Request(url, {method: request.method, headers: request.headers, body: request.body}));
		if (this.silent.has(origin)) {
			throw new TypeError('fetch failed', {cause: Object.assign(new Error('other side closed'), {code: 'UND_ERR_SOCKET'})});
		}

		return response;
	};
}

describe('command line', () => {
	let user: User;

	beforeEach(() => {
		user = new User();
	});

	it('applies, shows, edits and deletes resources, starting from an empty system', async function () {
		await user.run('get');
		await user.run('apply', '-f', 'services.toml', '--dry-run');
		await user.run('apply', '-f', 'services.toml', '--note', 'first', '--wait', '5');
		await user.run('apply', '-f', 'services.toml');
		await user.run('get');
		await user.run('get', 'service', 'ordering');
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9', '--set', 'measuring.tailWeight=0.5');
		await user.run('edit', 'backend-server', 'ordering-1', '--set', 'isLeaving=true', '--format', 'json');
		await user.run('watch', '--after', '1', '--count', '2');
		await user.run('delete', 'backend-server', 'ordering-1', '--note', 'sold');
		await user.run('get', 'backend-servers');
		await user.run('apply', '--delete', 'service/ordering', '--delete', 'backend-server/ordering-1', '--dry-run');
		await user.run('apply', '--delete', 'service/ordering', '--delete', 'backend-server/ordering-1');
		await user.run('history', '--limit', '2');
		await user.run('history', '--operation', 'operation-1');
		await user.run('history', '--operation', 'operation-9');
		user.files.set('-', '[[service]]\nname = "from-standard-input"\n');
		await user.run('apply', '-f', '-', '--note=- begins with a dash');
		expect(user.transcript).toMatchSnapshot(this);
	});

	it('applies, shows, edits and deletes an organisation', async function () {
		user.files.set('organisations.toml', `[[organisation]]\nname = "gull"\nkeyDigests = ["${'a'.repeat(64)}"]\npriority = 1\n`);
		user.files.set('wrong.toml', '[[organisation]]\nname = "gull"\nkeyDigests = ["the-key"]\n');
		await user.run('apply', '-f', 'wrong.toml');
		await user.run('apply', '-f', 'organisations.toml');
		await user.run('get');
		await user.run('get', 'organisation', 'gull');
		await user.run('edit', 'organisation', 'gull', '--set', 'keyDigests=[]');
		await user.run('get', 'organisations');
		await user.run('delete', 'organisation', 'gull');
		expect(user.transcript).toMatchSnapshot(this);
	});

	it('shows the VMs and services, and controls drain, quarantine and log level', async function () {
		await user.run('status');
		await user.run('vm', 'list');
		await user.run('vm', 'drain', '10.0.0.2:7001');
		await user.run('vm', 'list', '--format', 'json');
		await user.run('quarantine', 'list');
		await user.run('quarantine', 'lift', 'f00d');
		await user.run('quarantine', 'lift', 'f00d');
		await user.run('quarantine', 'list');
		await user.run('log-level');
		await user.run('log-level', 'debug');
		await user.run('burn');
		user.gateway.report = {
			services: [{
				service: 'ordering',
				objective: {successShare: 0.9995, latencyMilliseconds: 500},
				windows: [
					{
						window: '5m', good: 990, bad: 10, coveredMilliseconds: 300_000, burnRate: 20,
					},
					{
						window: '30d', good: 99_990, bad: 10, coveredMilliseconds: 7_200_000, burnRate: 0.2,
					},
				],
				budgetLeft: 0.8,
				verdict: 'fast-burn',
				measuring: {spent: 130, allowed: 800},
			}],
			vmsCounted: ['vm-1'],
			vmsMissing: ['vm-2'],
			copiesCounted: 1,
		};
		await user.run('burn');
		await user.run('burn', '--format', 'json');
		expect(user.transcript).toMatchSnapshot(this);
	});

	it('rejects invalid input with a message, a suggestion and exit code 2', async function () {
		user.files.set('wrong.toml', '[[service]]\nname = "Ordering"\nprioritty = 3\n[[backend-servers]]\nname = "a"\n');
		user.files.set('broken.toml', '[[service]\nname = "a"\n');
		const lines = [
			'',
			'gte',
			'vm',
			'vm lst',
			'settings',
			'get servce',
			'get service Ordering',
			'get service a b',
			'get --frmat json',
			'get --format yaml',
			'apply',
			'apply -f',
			'apply --delete ordering',
			'apply -f none.toml',
			'apply -f wrong.toml -f broken.toml',
			'apply -f services.toml -f services.toml',
			'edit service',
			'edit service ordering',
			'delete service ordering --expected many',
			'history --limit -3',
			'watch --after x',
			'log-level lod',
			'serve',
			'serve --settings none.toml',
			'status --server vm-1',
			'quarantine lift',
			'vm drain 10.9.9.9:1',
		];
		for (const line of lines) {
			await user.run(...line.split(' ').filter(word => word !== ''));
		}

		await user.run('apply', '-f', 'services.toml');
		for (const assignment of ['priority', 'priority=ten', 'priority=10', 'measuring.tailWeigth=1', 'colour.dark=1', '__proto__=1', 'name="other"']) {
			await user.run('edit', 'service', 'ordering', '--set', assignment);
		}

		await user.run('apply', '-f', 'services.toml', '--wait', 'long');
		expect(user.transcript).toMatchSnapshot(this);
		expect(user.gateway.version).toEqual(1);
	});

	it('rejects unknown operators, and changes by operators with the role read', async function () {
		user.environment.JAYDALE_TOKEN = 'read-token-of-jan-123456';
		await user.run('status', '--format', 'json');
		await user.run('apply', '-f', 'services.toml');
		user.environment.JAYDALE_TOKEN = 'guess';
		await user.run('status');
		user.environment.JAYDALE_TOKEN = undefined;
		await user.run('status');
		user.files.set('token', 'write-token-of-hanna-123\n');
		await user.run('get', '--token-file', 'token');
		expect(user.transcript).toMatchSnapshot(this);
	});

	// Guards against a partial change when another operator changes the resource first.
	it('reports a conflict without changing anything', async function () {
		await user.run('apply', '-f', 'services.toml');
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9');
		await user.run('delete', 'service', 'ordering', '--expected', '1');
		expect(user.transcript).toMatchSnapshot(this);
		expect(user.gateway.version).toEqual(2);
	});

	// Guards against a change that is made twice, or reported as rejected, because its response was lost.
	it('makes a change once when its response is lost and the change is sent again', async function () {
		user.gateway.storeState = 'loses-answers';
		await user.run('apply', '-f', 'services.toml');
		expect(user.gateway.version).toEqual(1);
		user.gateway.storeState = 'loses-writes';
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9');
		user.gateway.storeState = 'well';
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9', '--operation', 'operation-2');
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9', '--operation', 'operation-2');
		expect(user.gateway.version).toEqual(2);
		user.gateway.storeState = 'out';
		await user.run('edit', 'service', 'ordering', '--set', 'priority=1');
		expect(user.transcript).toMatchSnapshot(this);
	});

	// Guards against a change that is reported as rejected because a connection closed without a response.
	it('tries another VM only where no change can be made twice', async function () {
		user.starting.add('http://vm-1');
		await user.run('get');
		user.starting.clear();
		user.refusing.add('http://vm-1');
		await user.run('apply', '-f', 'services.toml');
		user.refusing.add('http://vm-2');
		await user.run('status');
		user.refusing.clear();
		user.silent.add('http://vm-1');
		await user.run('get', 'service');
		await user.run('edit', 'service', 'ordering', '--set', 'priority=9');
		expect(user.transcript).toMatchSnapshot(this);
	});

	it('prints help for each command', async function () {
		const texts: string[] = [];
		const {log} = console;
		console.log = (text: string) => texts.push(text);
		try {
			await user.run('--help');
			for (const definition of allCommands(async () => 0)) {
				await user.run(...definition.usage.split(' ').filter(word => /^[a-z]/v.test(word)), '--help');
			}
		} finally {
			console.log = log;
		}

		expect(texts).toMatchSnapshot(this);
		expect(texts.every(text => text.includes('Examples') || text.includes('Available Commands'))).toEqual(true);
	});

	it('checks settings files', async function () {
		const folder = mkdtempSync(join(tmpdir(), 'jaydale-cli-'));
		const path = join(folder, 'vm.toml');
		writeFileSync(path, '[vm]\nname = "vm-1"\n');
		await user.run('settings', 'check', 'examples/baltmor/vm-gdansk-1.toml');
		await user.run('settings', 'check', path);
		rmSync(folder, {recursive: true});
		expect(user.transcript.map(line => line.replaceAll(folder, 'FOLDER'))).toMatchSnapshot(this);
	});

	it('applies every example of both customers', async function () {
		for (const customer of ['baltmor', 'cometa-alta']) {
			for (const file of ['services.toml', 'backend-servers.toml']) {
				user.files.set(`${customer}/${file}`, readFileSync(`examples/${customer}/${file}`, 'utf8'));
			}

			await user.run('apply', '-f', `${customer}/services.toml`, '-f', `${customer}/backend-servers.toml`);
		}

		await user.run('get', 'service');
		await user.run('get', 'sharing-rule');
		expect(user.transcript).toMatchSnapshot(this);
	});

	it('has the version of package.json', () => {
		expect(JSON.parse(readFileSync('package.json', 'utf8'))).toEqual(expect.subset({version}));
	});
});
