import {expect} from 'earl';
import {type Instant} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {BackendLinks, type LinkTarget} from './backend-links.ts';
import {
	type LinkChange, type LinkCheck, type LinkCheckResult, type Relay,
} from './types.ts';

const relays: readonly Relay[] = [1, 2, 3, 4].map(number => ({address: `vm-${number}`, dataCentre: number < 3 ? 'north' : 'south'}));

type Network = {
	/** Result of a check; `via` = relay, undefined = direct. */
	result: (identity: string, via: string | undefined) => LinkCheckResult;
};

/** Links of one VM to six backend servers of two services; checks end within a few milliseconds. */
class Driver {
	readonly changes: string[] = [];
	readonly ended: string[] = [];
	readonly checks: LinkCheck[] = [];
	readonly links: BackendLinks;
	readonly network: Network = {result: () => 'answered'};
	now: Instant = 0;
	private readonly _targets = new Map<string, LinkTarget>();
	private readonly _pending: LinkCheck[] = [];

	constructor(seed = 1) {
		for (let index = 0; index < 6; index++) {
			this._targets.set(`i-${index}`, {
				identity: `i-${index}`, declared: {
					service: index < 3 ? 'reads' : 'orders', address: '10.0.0.1', port: 7000 + index, dataCentre: 'north',
				},
			});
		}

		this.links = new BackendLinks({
			random: seededRandom(seed),
			dataCentre: 'north',
			targets: () => this._targets.values(),
			find: identity => this._targets.get(identity),
			takeProbe: () => true,
			loadPathOf: () => '/load',
			onCheck: check => {
				this.checks.push(check);
				this._pending.push(check);
			},
			onChanged: ({identity, state, lostLinks}: LinkChange) => {
				this.changes.push(`${identity} ${state} ${lostLinks}`);
			},
			onEnded: identity => {
				this.ended.push(identity);
			},
		});
		this.links.setRelays(relays, 0);
	}

	/** Passes time in steps of 10 ms; checks that were started end in the next step. */
	run(milliseconds: number): void {
		for (const end = this.now + milliseconds; this.now < end;) {
			this.now += 10;
			for (const {checkId, identity, via} of this._pending.splice(0)) {
				this.links.onChecked(checkId, this.network.result(identity, via), undefined, this.now);
			}

			if ((this.links.nextAt ?? Infinity) <= this.now) {
				this.links.runDue(this.now);
			}
		}
	}

	get states(): string[] {
		return [...this._targets.keys()].map(identity => this.links.pathTo(identity).state);
	}
}

describe('BackendLinks', () => {
	// Guards against a backend server that is given up, or reached by a detour, since one contact with it has failed.
	it('keeps a direct link that responds', () => {
		const driver = new Driver();
		driver.links.onTrouble('i-0', 0);
		driver.run(500);
		expect([driver.changes, driver.checks.length]).toEqual([[], 1]);
	});

	// Guards against a VM that notices the loss of each link by failed calls of its own.
	it('checks all links once one is lost, and goes through other VMs', () => {
		const driver = new Driver();
		driver.network.result = (_identity, via) => via === undefined ? 'failed' : 'answered';
		driver.links.onTrouble('i-4', 0);
		driver.run(200);
		expect(driver.states).toEqual(['relayed', 'relayed', 'relayed', 'relayed', 'relayed', 'relayed']);
	});

	// Guards against links that stay lost behind another one that does not return.
	it('takes the direct links again within a second of their return', () => {
		const driver = new Driver();
		driver.network.result = (_identity, via) => via === undefined ? 'refused' : 'answered';
		driver.links.onTrouble('i-4', 0);
		driver.run(2000);
		driver.network.result = (identity, via) => via === undefined && identity === 'i-0' ? 'refused' : 'answered';
		driver.run(1000);
		expect(driver.states).toEqual(['relayed', 'direct', 'direct', 'direct', 'direct', 'direct']);
	});

	// Guards against a VM without links that takes backend servers for ended, and against one with links that does not.
	it('takes a process for ended only if a relay is refused too', () => {
		const driver = new Driver();
		driver.network.result = identity => identity === 'i-1' ? 'refused' : 'answered';
		driver.links.onTrouble('i-1', 0);
		driver.run(100);
		driver.network.result = (_identity, via) => via === undefined ? 'refused' : 'no-relay';
		driver.links.onTrouble('i-2', driver.now);
		driver.run(100);
		expect([driver.ended, driver.changes[0]]).toEqual([['i-1'], 'i-2 unreachable 1']);
	});

	// Guards against a backend server that hangs, and is taken for unreachable while others respond.
	it('keeps the direct link if a backend server responds to no VM', () => {
		const driver = new Driver();
		driver.network.result = identity => identity === 'i-1' ? 'failed' : 'answered';
		driver.links.onContact(0);
		driver.links.onTrouble('i-1', 0);
		driver.run(300);
		expect(driver.changes).toEqual([]);
	});

	// Guards against relays without links of their own that are asked again and again, and against one that is never found.
	it('finds the only relay that has links, with few checks', () => {
		for (let seed = 1; seed <= 20; seed++) {
			const driver = new Driver(seed);
			driver.network.result = (_identity, via) => via === undefined ? 'failed' : (via === 'vm-4' ? 'answered' : 'no-relay');
			driver.links.onTrouble('i-0', 0);
			driver.run(300);
			expect([driver.states.filter(state => state !== 'relayed'), driver.checks.length < 40]).toEqual([[], true]);
		}
	});

	// Guards against connections through a VM that has left.
	it('chooses another relay when one leaves', () => {
		const driver = new Driver();
		driver.network.result = (_identity, via) => via === undefined ? 'failed' : 'answered';
		driver.links.onTrouble('i-0', 0);
		driver.run(200);
		const {via} = driver.links.pathTo('i-0');
		driver.links.setRelays(relays.filter(({address}) => address !== via), driver.now);
		const next = driver.links.pathTo('i-0');
		expect([next.state, next.via !== undefined && next.via !== via]).toEqual(['relayed', true]);
	});

	// Guards against VMs that ask one another all the time while none of them has links.
	it('asks relays about once a second for each service while no VM has links', () => {
		const driver = new Driver();
		driver.network.result = (_identity, via) => via === undefined ? 'failed' : 'no-relay';
		driver.links.onTrouble('i-0', 0);
		driver.run(500);
		const before = driver.checks.filter(({via}) => via !== undefined).length;
		driver.run(5000);
		const asked = driver.checks.filter(({via}) => via !== undefined).length - before;
		expect([driver.states.includes('direct'), asked <= 6 * 5 * relays.length]).toEqual([false, true]);
	});

	// Guards against checks that multiply while links are lost.
	it('checks one lost link of each service in each interval', () => {
		const driver = new Driver();
		driver.network.result = (_identity, via) => via === undefined ? 'failed' : 'answered';
		driver.links.onTrouble('i-0', 0);
		driver.run(300);
		const before = driver.checks.length;
		driver.run(3000);
		expect(driver.checks.length - before).toBeLessThanOrEqual(2 * 11);
	});
});
