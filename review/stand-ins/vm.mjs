/** Starts entry VMs as the deploy file does: its `run` command, and its settings template filled in. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

export const root = path.join(import.meta.dirname, '..', '..');

/** Fills in the placeholders of the settings template, as far as this template needs them. */
function render(template, fields) {
	const valueOf = dotted => {
		let value = fields;
		for (const name of dotted.split('.')) {
			value = value?.[name];
		}

		return value;
	};

	const text = value => Array.isArray(value) ? value.join(',') : String(value ?? '');
	const section = /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gsv;
	const withSections = template.replaceAll(section, (_match, name, body) => {
		const value = valueOf(name);
		if (value === undefined || value === false || value === null) {
			return '';
		}

		const entries = Array.isArray(value) ? value : [value];
		return entries.map((entry, index) => body.replaceAll('{{.}}', text(entry)).replaceAll('{{,}}', index < entries.length - 1 ? ',' : '')).join('');
	});
	return withSections.replaceAll(/\{\{([\w.]+)\}\}/gv, (_match, name) => text(valueOf(name)));
}

const listeners = ['http', 'readiness', 'admin', 'registry'];

/** Resolves with `count` ports that are free on this address. */
async function findFreePorts(ip, count) {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, ip, () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** Resolves with the addresses of a VM's listeners. */
export async function findEndpoints(ip) {
	const [metricsPort, ...ports] = await findFreePorts(ip, listeners.length + 1);
	return {metricsPort, listen: Object.fromEntries(listeners.map((name, index) => [name, `${ip}:${ports[index]}`]))};
}

export class Vm {
	lines = [];
	exits = [];

	/** `ip` = a loopback address of its own; `endpoints` = the result of `findEndpoints`. */
	constructor({name, zone, ip, endpoints: {metricsPort, listen}, store, seeds = [], bounds = {}}) {
		this.name = name;
		this.callers = listen.http;
		this.readiness = listen.readiness;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		const fields = {
			nodeId: name,
			zone,
			ip,
			seeds,
			limits: {linkMbps: 1000},
			listen,
			portRange: [metricsPort],
			provider: {address: store},
			heartbeatS: 1.5,
			bounds: {
				configConvergeS: 2, probesPerS: 60, retryBudgetRatio: 0.2, retryBudgetExtra: 60, graceS: 6, ...bounds,
			},
		};
		this.settingsFile = path.join(this.folder, 'settings.toml');
		writeFileSync(this.settingsFile, render(readFileSync(path.join(root, 'deploy/settings.toml'), 'utf8'), fields));
	}

	start() {
		const run = /^run = "(.*)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ');
		this.process = spawn(run[0], run.slice(1), {
			cwd: root,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', JAYDALE_SETTINGS: this.settingsFile,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const own = this.process;
		for (const stream of [own.stdout, own.stderr]) {
			let rest = '';
			stream.on('data', chunk => {
				const parts = (rest + chunk).split('\n');
				rest = parts.pop();
				this.lines.push(...parts);
			});
		}

		this.ended = new Promise(resolve => {
			own.on('exit', (code, signal) => {
				this.exits.push({code, signal});
				resolve({code, signal});
			});
		});
	}

	async isReady() {
		return new Promise(resolve => {
			const request = get(`http://${this.readiness}/readyz`, {timeout: 1000}, answer => {
				answer.resume();
				resolve(answer.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady(milliseconds = 20_000) {
		const until = Date.now() + milliseconds;
		while (!await this.isReady()) {
			if (Date.now() > until) {
				throw new Error(`${this.name} was not ready in time`);
			}

			await delay(100);
		}
	}

	signal(name) {
		this.process.kill(name);
	}

	async end() {
		if (this.process !== undefined && this.process.exitCode === null && this.process.signalCode === null) {
			this.process.kill('SIGCONT');
			this.process.kill('SIGKILL');
			await this.ended;
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}
