import {expect} from 'earl';
import {type LoadUpdate} from '../calls/types.ts';
import {seededRandom} from '../random/random.ts';
import {EvidenceStore} from './evidence-store.ts';
import {RegistryContext} from './registry-context.ts';
import {settings} from './registry-driver.test.ts';
import {UpdateExchange} from './update-exchange.ts';

const clearing: LoadUpdate = {
	identity: 'none', report: undefined, ageMilliseconds: 0, suspects: [], crash: undefined, cleared: ['a'],
};

const crash: LoadUpdate = {
	identity: 'server', report: undefined, ageMilliseconds: 0, suspects: ['a'], crash: 'server', isCrashCertain: true,
};

/** An exchange with ten peers, and what it emits. */
class ExchangeDriver {
	readonly context = new RegistryContext(settings);
	readonly exchange = new UpdateExchange(this.context, {random: seededRandom(1), peers: () => Array.from({length: 10}, (_, index) => `10.0.0.${index}:90`), evidence: new EvidenceStore()});

	/** Advances the time; returns the numbers of receivers of the messages sent meanwhile. */
	passTime(milliseconds: number): number[] {
		const end = this.context.now + milliseconds;
		for (let next = this.context.timers.next(); next !== undefined && next <= end; next = this.context.timers.next()) {
			this.context.now = next;
			this.context.timers.run(next);
		}

		this.context.now = end;
		return this.context.takeEffects().flatMap(effect => effect.type === 'send-updates' ? [effect.to.length] : []);
	}
}

describe('UpdateExchange', () => {
	// Guards against a call that stays quarantined elsewhere, since its second answer looks like its first.
	it('passes on another clearing of the same call, but not the same one again', () => {
		const driver = new ExchangeDriver();
		driver.exchange.addReceived([clearing]);
		driver.passTime(50);
		driver.passTime(1000);
		driver.exchange.addReceived([{...clearing, ageMilliseconds: 1040}]);
		expect(driver.context.takeEffects().some(({type}) => type === 'peer-updates')).toEqual(false);
		driver.exchange.addReceived([clearing]);
		expect(driver.context.takeEffects().some(({type}) => type === 'peer-updates')).toEqual(true);
	});

	// Guards against a crash that other VMs learn of late, while they send the same call to further backend servers.
	it('sends a crash soon after other updates', () => {
		const driver = new ExchangeDriver();
		const sent = [clearing, clearing, crash].map((update, index) => {
			driver.exchange.addOwn({...update, cleared: update.cleared?.map(name => name + index)});
			return driver.passTime(25);
		});
		expect(sent).toEqual([[4], [], [4]]);
	});

	// Guards against a message for each update, which would keep a small VM from its calls.
	it('sends one first round in 100 ms, and ends after three rounds', () => {
		const driver = new ExchangeDriver();
		const sent = Array.from({length: 50}, (_, update) => {
			driver.exchange.addOwn({...clearing, cleared: [`call-${update}`]});
			return driver.passTime(2);
		}).flat();
		expect([...sent, ...driver.passTime(150)]).toEqual([4, 4]);
		expect(driver.passTime(10_000)).toEqual([3, 3]);
	});
});
