/** Starts entry VMs with the commands of the deploy file, on loopback addresses. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {parse} from 'smol-toml';

const root = new URL('../../', import.meta.url);

/** Below the range from which the system takes the ports of outgoing connections. */
const firstPort = 12_000;
const portCount = 18_000;

const isFree = async port => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

const planned = new Set();

const freePort = async () => {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!planned.has(port) && await isFree(port)) {
			planned.add(port);
			return port;
		}
	}
};

const valueAt = (fields, name) => {
	let value = fields;
	for (const part of name === '.' ? ['.'] : name.split('.')) {
		value = value?.[part];
	}

	return value;
};

/** Fills in the placeholders and sections that `deploy/settings.toml` uses, as DEPLOY.md describes them. */
export const fillTemplate = (template, fields) => {
	const withSections = template.replaceAll(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gsv, (_match, name, inner) => {
		const value = valueAt(fields, name);
		if (value === undefined || value === null || value === false) {
			return '';
		}

		const entries = Array.isArray(value) ? value : [value];
		return entries.map((entry, index) => fillTemplate(inner.replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''), {...fields, '.': entry})).join('');
	});
	return withSections.replaceAll(/\{\{([\w.]+)\}\}/gv, (_match, name) => String(valueAt(fields, name) ?? ''));
};

/** The settings of a small deployment (16 machines of 0.54 cores and 350 MB); `bounds` are those of its sheet. */
const bounds = {
	seedLagS: 3, addrReuseS: 2, contactS: 3, drainS: 2, graceS: 6, lossSlackS: 0.2, configConvergeS: 2, retryBudgetRatio: 0.2, retryBudgetExtra: 60, probesPerS: 60,
};

export class Vms {
	constructor(storeAddress) {
		this._storeAddress = storeAddress;
		this._folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
		this._seeds = [];
		this.list = [];
		// A fault of the script itself is no broken rule, and must leave no process behind.
		process.on('uncaughtException', error => {
			console.error(error);
			for (const {child} of this.list) {
				child?.kill('SIGKILL');
			}

			process.exit(2);
		});
	}

	/** Chooses the ports of a VM; the first three are the seeds. */
	async plan(name, zone = 'oliwa-hall') {
		const ports = [];
		for (let count = 0; count < 6; count++) {
			ports.push(await freePort());
		}

		const [http, readiness, admin, registry, metrics, datagrams] = ports.map(port => `127.0.0.1:${port}`);
		const listen = {
			http, readiness, admin, registry,
		};
		const vm = {
			name, zone, ...listen, metrics, datagrams, child: undefined, exits: [], lines: [],
		};
		this.list.push(vm);
		if (this._seeds.length < 3) {
			this._seeds.push(admin);
		}

		return vm;
	}

	start(vm) {
		const fields = {
			nodeId: vm.name,
			zone: vm.zone,
			ip: '127.0.0.1',
			seeds: this._seeds,
			limits: {linkMbps: 1000, memoryMb: 350, maxFds: 4100},
			listen: {
				http: vm.http, readiness: vm.readiness, registry: vm.registry, admin: vm.admin,
			},
			portRange: [vm.metrics.split(':')[1], vm.datagrams.split(':')[1]],
			provider: {address: this._storeAddress},
			heartbeatS: 1.5,
			bounds,
		};
		const {roles: {entry}} = parse(readFileSync(new URL('deploy/system.toml', root), 'utf8'));
		const file = path.join(this._folder, `${vm.name}.toml`);
		writeFileSync(file, fillTemplate(readFileSync(new URL(entry.template, root), 'utf8'), fields));
		const [command, ...words] = entry.run.split(' ');
		vm.child = spawn(command, words, {cwd: root, env: {PATH: process.env.PATH, JAYDALE_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe']});
		const {child} = vm;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				vm.lines.push(text);
			});
		}

		child.once('exit', (code, signal) => {
			vm.exits.push({code, signal});
		});
		return child;
	}

	/** Resolves once the VM answers that it is ready; false after the time limit. */
	async waitUntilReady(vm, milliseconds = 10_000) {
		const end = performance.now() + milliseconds;
		while (performance.now() < end) {
			try {
				const answer = await fetch(`http://${vm.readiness}/readyz`);
				await answer.arrayBuffer();
				if (answer.status === 200) {
					return true;
				}
			} catch {
				// It does not listen yet.
			}

			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}

		return false;
	}

	async endAll() {
		await Promise.all(this.list.map(async ({child}) => {
			if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
				return;
			}

			const ended = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await ended;
		}));
		rmSync(this._folder, {recursive: true, force: true});
	}
}
