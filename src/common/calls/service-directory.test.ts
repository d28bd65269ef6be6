import {expect} from 'earl';
import {BackendLinks} from '../links/backend-links.ts';
import {serviceSchema, sharingRuleSchema} from '../model/resources.ts';
import {seededRandom} from '../random/random.ts';
import {type EngineContext} from './engine-context.ts';
import {ProcessEndJudge} from './health/process-end.ts';
import {PoisonRequestDetector} from './poison-requests/poison-request-detector.ts';
import {DemandReports} from './admission/demand-reports.ts';
import {ServiceDirectory} from './service-directory.ts';
import {TimerQueue} from './timer-queue.ts';
import {defaultTuning} from './tuning.ts';
import {DividedRateLimiter} from './backend-rates/rate-limiter.ts';
import {SingleVmRateQuota} from './backend-rates/rate-quota.ts';

function noLinks(): BackendLinks {
	return new BackendLinks({
		random: seededRandom(1),
		dataCentre: 'north',
		targets: () => [],
		find: () => undefined,
		takeProbe: () => false,
		loadPathOf: () => '',
		onCheck: () => undefined,
		onChanged: () => undefined,
		onEnded: () => undefined,
	});
}

describe('ServiceDirectory', () => {
	// Guards against a sharing rule that stays in force after an operator has deleted it.
	it('applies the default when a sharing rule is deleted', () => {
		const context: EngineContext = {
			random: seededRandom(1), tuning: defaultTuning, settings: {dataCentre: 'north'}, timers: new TimerQueue(),

			poisonRequests: new PoisonRequestDetector(1000, {onChange: () => undefined, onCrashEvidence: () => undefined, onCleared: () => undefined}),
			servicesToDrain: new Set(), replacedServers: [], shares: undefined,
			isPlacingHeld: false, rateQuota: new SingleVmRateQuota(), rateLimiter: new DividedRateLimiter(new SingleVmRateQuota()), demandReports: new DemandReports(false), links: noLinks(), effects: [],
		};
		const directory = new ServiceDirectory(context, new ProcessEndJudge(context));
		const services = new Map([['dues', serviceSchema.parse({kind: 'service', name: 'dues'})]]);
		const rule = sharingRuleSchema.parse({
			kind: 'sharing-rule', name: 'small', service: 'dues', callerShare: 0.1,
		});
		directory.configure({
			version: 1, services, backendServers: new Map(), sharingRules: [rule],
		}, 0);
		const limited = directory.service('dues')!.sharing.callerShare;
		directory.configure({
			version: 2, services, backendServers: new Map(), sharingRules: [],
		}, 1);
		expect({limited, afterwards: directory.service('dues')!.sharing.callerShare}).toEqual({limited: 0.1, afterwards: 0.5});
	});
});
