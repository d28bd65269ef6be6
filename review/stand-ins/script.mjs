/** Frame of a script: runs it, writes its record, ends what it started, and exits with 1 (rule broken), 0 (held) or 2 (could not run). */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Store} from './store.mjs';
import {findEndpoints, Vm} from './vm.mjs';

/** False = the same script without the disturbance. */
export const hasTrouble = process.env.TROUBLE !== '0';

const maxMilliseconds = 118_000;

const maxSeeds = 3;

/** Time after which all VMs know each other. */
const settleMilliseconds = 3000;

export class Script {
	#lines = [];
	#owned = [];
	#startedAt = Date.now();

	/** `folder` = the folder of the case. */
	constructor(folder) {
		this.folder = folder;
	}

	/** Adds a line to the record. */
	record(text) {
		this.#lines.push(`${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}`);
	}

	/** Calls `end` when the script is over. */
	own(end) {
		this.#owned.push(end);
	}

	async startStore() {
		const store = new Store();
		await store.start();
		this.own(() => {
			store.stop();
		});
		return store;
	}

	/** Starts `count` VMs on loopback addresses of their own, and waits until they are ready and know each other. */
	async startVms(count, {store, zone = 'north'}) {
		const network = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}`;
		const places = await Promise.all(Array.from({length: count}, async (_, index) => {
			const ip = `${network}.${index + 1}`;
			return {ip, endpoints: await findEndpoints(ip)};
		}));
		const seeds = places.slice(0, maxSeeds).map(({endpoints: {listen}}) => listen.admin);
		const vms = places.map((place, index) => new Vm({
			name: `edge-${index + 1}`, zone, store: store.address, seeds, ...place,
		}));
		for (const vm of vms) {
			this.own(async () => vm.end());
			vm.start();
		}

		await Promise.all(vms.map(async vm => vm.waitUntilReady()));
		await delay(settleMilliseconds);
		return vms;
	}

	/** `body` resolves with the breaches found, as texts. */
	async run(body) {
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, async () => this.#end(2));
		}

		let code = 2;
		const limit = setTimeout(async () => {
			this.record('result: not finished in time');
			await this.#end(2);
		}, maxMilliseconds);
		try {
			const breaches = await body();
			for (const breach of breaches.slice(0, 50)) {
				this.record(`broken: ${breach}`);
			}

			code = breaches.length > 0 ? 1 : 0;
			this.record(`result: ${breaches.length} breaches`);
			console.log(`${breaches.length} breaches${breaches.length > 0 ? `; the first: ${breaches[0]}` : ''}`);
		} catch (error) {
			this.record(`result: could not run: ${error.stack}`);
			console.log(`could not run: ${error.message}`);
		}

		clearTimeout(limit);
		await this.#end(code);
	}

	async #end(code) {
		writeFileSync(path.join(this.folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
		for (const end of this.#owned.toReversed()) {
			await end();
		}

		// Open connections of the stand-ins would keep the process alive.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	}
}
