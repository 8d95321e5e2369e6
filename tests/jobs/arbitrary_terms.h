#pragma once

#include <rapidcheck.h>
#include <string>

#include "chervilspar/jobs/job_terms.h"

namespace chervilspar::jobs {

/// Any terms, with or without each part.
inline rc::Gen<JobTerms> ArbitraryTerms() {
  return rc::gen::exec([] {
    JobTerms terms;
    if (*rc::gen::arbitrary<bool>()) {
      QueueTerms queue;
      queue.version = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 50U);
      queue.service = ServiceId{*rc::gen::element<std::string>("", "desk", "a \"b\"")};
      queue.priority = *rc::gen::arbitrary<std::uint32_t>();
      queue.attempts = *rc::gen::arbitrary<std::uint32_t>();
      queue.slack_factor = *rc::gen::element(0.0, 1.0, 4.0, 0.1);
      queue.target = std::chrono::milliseconds(*rc::gen::inRange(0, 1 << 30));
      if (*rc::gen::arbitrary<bool>()) {
        queue.advice = AdviceTerms{std::chrono::milliseconds(*rc::gen::inRange(0, 1000)),
                                   std::chrono::milliseconds(*rc::gen::inRange(0, 1000)),
                                   std::chrono::milliseconds(*rc::gen::inRange(0, 100000))};
      }
      terms.queue = queue;
    }
    if (*rc::gen::arbitrary<bool>()) {
      terms.team = TeamTerms{*rc::gen::inRange<std::uint64_t>(0, 1ULL << 50U),
                             *rc::gen::element(1.0, 0.5, 10.0),
                             {*rc::gen::inRange(0, 90000), *rc::gen::inRange(0, 90000), 1}};
    }
    return terms;
  });
}

}  // namespace chervilspar::jobs
