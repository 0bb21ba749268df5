import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as fleetNetwork from '../FleetNetwork.js';

/** The network of one VM of a test, on a free port; all share one secret unless another is given. */
export function createTestNetwork(
  name: string,
  secret = 'a secret of the tests',
): fleetNetwork.FleetNetwork {
  return new fleetNetwork.FleetNetwork({
    name,
    incarnation: '1',
    failureDomain: 'a',
    secret,
    host: '127.0.0.1',
    port: 0,
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('test'),
  });
}
