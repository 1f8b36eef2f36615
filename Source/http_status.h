// HTTP status codes that decide what happens to a request, and what they mean.

#pragma once

namespace almondmoor {

inline constexpr int successStatus = 200;
inline constexpr int redirectStatus = 300;
inline constexpr int requestTimeoutStatus = 408;
inline constexpr int misdirectedStatus = 421;
inline constexpr int tooManyRequestsStatus = 429;
inline constexpr int serverErrorStatus = 500;
inline constexpr int badGatewayStatus = 502;
inline constexpr int unavailableStatus = 503;

constexpr bool isSuccess(int status)
{
    return status >= successStatus && status < redirectStatus;
}

// Returns whether a client that gets this status may assume that the request has not run.
constexpr bool promisesNotRun(int status)
{
    return status == requestTimeoutStatus || status == misdirectedStatus || status == tooManyRequestsStatus || status == unavailableStatus;
}

} // namespace almondmoor
